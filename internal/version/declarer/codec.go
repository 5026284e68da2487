package declarer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// TOML representation of the fleet document, converted by hand to and from the
// exported types.
type (
	fleetFile struct {
		Version       uint64             `toml:"version,omitempty"`
		PatchID       string             `toml:"patchId,omitempty"`
		Organisations []organisationFile `toml:"organisations"`
		Models        []modelFile        `toml:"models"`
		Services      []serviceFile      `toml:"services"`
		Targets       []targetFile       `toml:"targets"`
		Objectives    []objectiveFile    `toml:"objectives"`
	}
	organisationFile struct {
		Name    string  `toml:"name"`
		KeyHash string  `toml:"keyHash"`
		Budget  int64   `toml:"budget"`
		Weight  float64 `toml:"weight,omitempty"`
		Urgent  bool    `toml:"urgent,omitempty"`
	}
	modelFile struct {
		Name          string `toml:"name"`
		MaxTokens     int64  `toml:"maxTokens"`
		BytesPerToken int64  `toml:"bytesPerToken,omitempty"`
	}
	serviceFile struct {
		Name          string   `toml:"name"`
		NonIdempotent []string `toml:"nonIdempotent,omitempty"`
		Cost          int64    `toml:"cost,omitempty"`
	}
	targetFile struct {
		Name        string `toml:"name"`
		Serves      string `toml:"serves"`
		Agent       string `toml:"agent"`
		Domain      string `toml:"domain"`
		Capacity    int    `toml:"capacity"`
		ChecksFence bool   `toml:"checksFence,omitempty"`
	}
	objectiveFile struct {
		Priority   string  `toml:"priority"`
		Success    float64 `toml:"success"`
		FirstToken string  `toml:"firstToken,omitempty"`
	}
)

// Decode parses a fleet document and sets default values. An unknown key is an error.
func Decode(document []byte) (*Fleet, error) {
	var file fleetFile
	meta, err := toml.Decode(string(document), &file)
	if err != nil {
		return nil, errors.Wrap(err, "parse fleet document")
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return nil, errors.Errorf("fleet document has the unknown key %q", extra[0].String())
	}
	f := &Fleet{Version: file.Version, PatchID: file.PatchID}
	for _, o := range file.Organisations {
		f.Organisations = append(f.Organisations, Organisation(o))
	}
	for _, m := range file.Models {
		f.Models = append(f.Models, Model(m))
	}
	for _, s := range file.Services {
		f.Services = append(f.Services, Service(s))
	}
	for _, t := range file.Targets {
		f.Targets = append(f.Targets, Target(t))
	}
	for _, o := range file.Objectives {
		objective, err := decodeObjective(o)
		if err != nil {
			return nil, err
		}
		f.Objectives = append(f.Objectives, objective)
	}
	f.fillDefaults()
	return f, nil
}

func decodeObjective(o objectiveFile) (Objective, error) {
	objective := Objective{Priority: ParsePriority(o.Priority), Success: o.Success}
	if o.FirstToken == "" {
		return objective, nil
	}
	d, err := time.ParseDuration(o.FirstToken)
	objective.FirstToken = d
	return objective, errors.Wrapf(err, "objective for %q: firstToken", o.Priority)
}

// Encode returns the fleet as a document.
func Encode(f *Fleet) []byte {
	file := fleetFile{Version: f.Version, PatchID: f.PatchID}
	for _, o := range f.Organisations {
		file.Organisations = append(file.Organisations, organisationFile(o))
	}
	for _, m := range f.Models {
		file.Models = append(file.Models, modelFile(m))
	}
	for _, s := range f.Services {
		file.Services = append(file.Services, serviceFile(s))
	}
	for _, t := range f.Targets {
		file.Targets = append(file.Targets, targetFile(t))
	}
	for _, o := range f.Objectives {
		objective := objectiveFile{Priority: o.Priority.String(), Success: o.Success}
		if o.FirstToken > 0 {
			objective.FirstToken = o.FirstToken.String()
		}
		file.Objectives = append(file.Objectives, objective)
	}
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(file); err != nil {
		panic(err) // unreachable: TOML can represent every field of fleetFile
	}
	return buf.Bytes()
}

// HashKey returns the hexadecimal SHA-256 of a client's or operator's key, the form in
// which keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// fillDefaults sets fields that a document may omit.
func (f *Fleet) fillDefaults() {
	for i := range f.Organisations {
		if f.Organisations[i].Weight == 0 {
			f.Organisations[i].Weight = 1
		}
	}
	for i := range f.Models {
		if f.Models[i].BytesPerToken == 0 {
			f.Models[i].BytesPerToken = 1
		}
	}
}
