package declarer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

const (
	maxOutputTokens   = 1_000_000
	maxTargetCapacity = 100_000
	keyHashBytes      = 32
)

// Fault is an error in a fleet document.
type Fault struct {
	// Item identifies the faulty entry, such as `target "engine-1"`.
	Item string
	// Message describes the error and the values that are allowed.
	Message string
}

// String formats the fault as one line.
func (f Fault) String() string {
	return f.Item + ": " + f.Message
}

// Check validates a fleet and returns every fault, in document order.
func Check(f *Fleet) []Fault {
	c := &checker{seenNames: make(map[string]bool)}
	for _, o := range f.Organisations {
		c.checkOrganisation(o)
	}
	for _, m := range f.Models {
		c.checkModel(m)
	}
	for _, s := range f.Services {
		c.checkService(s)
	}
	for _, t := range f.Targets {
		c.checkTarget(f, t)
	}
	for _, o := range f.Objectives {
		c.require(o.Success > 0 && o.Success < 1, "objective "+o.Priority.String(), "success must lie between 0 and 1")
	}
	return c.faults
}

type checker struct {
	faults    []Fault
	seenNames map[string]bool
}

func (c *checker) require(ok bool, item, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Item: item, Message: fmt.Sprintf(format, args...)})
	}
}

// checkName reports a name that is empty or already used by another item of the
// same kind.
func (c *checker) checkName(kind, name, item string) {
	c.require(name != "", item, "name must not be empty")
	key := kind + "/" + name
	c.require(!c.seenNames[key], item, "the name stands twice")
	c.seenNames[key] = true
}

func (c *checker) checkOrganisation(o Organisation) {
	item := fmt.Sprintf("organisation %q", o.Name)
	c.checkName("organisation", o.Name, item)
	hash, err := hex.DecodeString(o.KeyHash)
	c.require(err == nil && len(hash) == keyHashBytes, item, "keyHash must be 64 hexadecimal digits")
	c.require(o.Budget >= 0, item, "budget must be 0 or more, not %d", o.Budget)
	c.require(o.Weight > 0, item, "weight must be above 0, not %g", o.Weight)
}

func (c *checker) checkModel(m Model) {
	item := fmt.Sprintf("model %q", m.Name)
	c.checkName("served", m.Name, item)
	c.require(m.MaxTokens >= 1 && m.MaxTokens <= maxOutputTokens, item, "maxTokens must be 1 to %d, not %d", maxOutputTokens, m.MaxTokens)
	c.require(m.BytesPerToken >= 1, item, "bytesPerToken must be 1 or more, not %d", m.BytesPerToken)
}

func (c *checker) checkService(s Service) {
	item := fmt.Sprintf("service %q", s.Name)
	c.checkName("served", s.Name, item)
	c.require(s.Cost >= 0, item, "cost must be 0 or more, not %d", s.Cost)
}

func (c *checker) checkTarget(f *Fleet, t Target) {
	item := fmt.Sprintf("target %q", t.Name)
	c.checkName("target", t.Name, item)
	_, isModel := f.FindModel(t.Serves)
	_, isService := f.FindService(t.Serves)
	c.require(isModel || isService, item, "serves %q, which is no model or service", t.Serves)
	_, err := netip.ParseAddrPort(t.Agent)
	c.require(err == nil, item, "agent must be an IP address and port, not %q", t.Agent)
	c.require(t.Domain != "", item, "domain must not be empty")
	c.require(t.Capacity >= 1 && t.Capacity <= maxTargetCapacity, item, "capacity must be 1 to %d, not %d", maxTargetCapacity, t.Capacity)
}
