package suspecter

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// wireObservation is an observation in a stored row.
type wireObservation struct {
	Digest   string `json:"digest"`
	Run      string `json:"run,omitempty"`
	AtMillis int64  `json:"atMillis"`
	Isolated bool   `json:"isolated,omitempty"`
	// The rows of earlier releases have none of these.
	SentAtMillis int64    `json:"sentAtMillis,omitempty"`
	Organisation string   `json:"organisation,omitempty"`
	Features     []string `json:"features,omitempty"`
}

// Encode returns the value of a row with observations.
func Encode(observations []Observation) []byte {
	list := make([]wireObservation, 0, len(observations))
	for _, o := range observations {
		list = append(list, wireObservation{
			Digest: o.Digest, Run: o.Run, AtMillis: o.At.UnixMilli(), Isolated: o.Isolated,
			SentAtMillis: Millis(o.SentAt), Organisation: o.Organisation, Features: o.Features,
		})
	}
	value, _ := json.Marshal(list) // structs of plain fields never fail
	return value
}

// Decode is the reverse of Encode. Times have a resolution of a millisecond.
func Decode(value []byte) ([]Observation, error) {
	var list []wireObservation
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(err, "decode observations")
	}
	observations := make([]Observation, 0, len(list))
	for _, w := range list {
		observations = append(observations, Observation{
			Digest: w.Digest, Run: w.Run, At: time.UnixMilli(w.AtMillis), Isolated: w.Isolated,
			SentAt: FromMillis(w.SentAtMillis), Organisation: w.Organisation, Features: w.Features,
		})
	}
	return observations, nil
}

// Millis returns the Unix time in milliseconds, 0 for the zero time.
func Millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// FromMillis is the reverse of Millis.
func FromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
