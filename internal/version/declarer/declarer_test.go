package declarer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/version/declarer"
)

func validFleet() *declarer.Fleet {
	return &declarer.Fleet{
		Version: 3,
		Organisations: []declarer.Organisation{
			{Name: "alpha", KeyHash: declarer.HashKey("k"), Budget: 5, Weight: 2, Urgent: true},
		},
		Models:   []declarer.Model{{Name: "m", MaxTokens: 10, BytesPerToken: 1}},
		Services: []declarer.Service{{Name: "s", NonIdempotent: []string{"POST"}, Cost: 2}},
		Targets:  []declarer.Target{{Name: "t", Serves: "m", Agent: "10.0.0.1:1", Domain: "d", Capacity: 1}},
		Objectives: []declarer.Objective{
			{Priority: declarer.PriorityUrgent, Success: 0.99, FirstToken: 520_000_000},
		},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	got, err := declarer.Decode(declarer.Encode(validFleet()))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, validFleet())
	assert.Equal(t, len(declarer.Check(got)), 0)
}

func TestDiffListsChangedItems(t *testing.T) {
	to := validFleet()
	to.Organisations[0].Budget = 9
	to.Targets = nil
	assert.DeepEqual(t, declarer.Diff(validFleet(), to), []string{
		`~ organisation "alpha": Budget 5 -> 9`, `- target "t"`,
	})
}

func TestCheckReportsEveryFault(t *testing.T) {
	f := validFleet()
	f.Organisations = append(f.Organisations, declarer.Organisation{Name: "alpha", KeyHash: "x", Budget: -1, Weight: -1})
	f.Targets[0].Serves, f.Targets[0].Agent, f.Targets[0].Capacity = "nothing", "host:1", 0
	assert.Equal(t, len(declarer.Check(f)), 7)
}

func FuzzDecode(f *testing.F) {
	f.Add(declarer.Encode(validFleet()))
	f.Add([]byte("version = -1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, err := declarer.Decode(data)
		if err == nil {
			declarer.Check(fleet)
		}
	})
}
