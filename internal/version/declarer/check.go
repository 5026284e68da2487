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

// Fault is one thing wrong with a fleet document.
type Fault struct {
	// Item names the item, such as `target "engine-1"`.
	Item string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return f.Item + ": " + f.Message
}

// Check returns every fault of a fleet, in document order.
func Check(f *Fleet) []Fault {
	c := &checker{names: make(map[string]bool)}
	for _, o := range f.Organisations {
		c.organisation(o)
	}
	for _, m := range f.Models {
		c.model(m)
	}
	for _, s := range f.Services {
		c.service(s)
	}
	for _, t := range f.Targets {
		c.target(f, t)
	}
	for _, o := range f.Objectives {
		c.require(o.Success > 0 && o.Success < 1, "objective "+o.Priority.String(), "success must lie between 0 and 1")
	}
	return c.faults
}

type checker struct {
	faults []Fault
	names  map[string]bool
}

func (c *checker) require(ok bool, where, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Item: where, Message: fmt.Sprintf(format, args...)})
	}
}

// unique reports names that are empty or stand twice among items of a kind.
func (c *checker) unique(kind, name, where string) {
	c.require(name != "", where, "name must not be empty")
	id := kind + "/" + name
	c.require(!c.names[id], where, "the name stands twice")
	c.names[id] = true
}

func (c *checker) organisation(o Organisation) {
	where := fmt.Sprintf("organisation %q", o.Name)
	c.unique("organisation", o.Name, where)
	hash, err := hex.DecodeString(o.KeyHash)
	c.require(err == nil && len(hash) == keyHashBytes, where, "keyHash must be 64 hexadecimal digits")
	c.require(o.Budget >= 0, where, "budget must be 0 or more, not %d", o.Budget)
	c.require(o.Weight > 0, where, "weight must be above 0, not %g", o.Weight)
}

func (c *checker) model(m Model) {
	where := fmt.Sprintf("model %q", m.Name)
	c.unique("served", m.Name, where)
	c.require(m.MaxTokens >= 1 && m.MaxTokens <= maxOutputTokens, where, "maxTokens must be 1 to %d, not %d", maxOutputTokens, m.MaxTokens)
	c.require(m.BytesPerToken >= 1, where, "bytesPerToken must be 1 or more, not %d", m.BytesPerToken)
}

func (c *checker) service(s Service) {
	where := fmt.Sprintf("service %q", s.Name)
	c.unique("served", s.Name, where)
	c.require(s.Cost >= 0, where, "cost must be 0 or more, not %d", s.Cost)
}

func (c *checker) target(f *Fleet, t Target) {
	where := fmt.Sprintf("target %q", t.Name)
	c.unique("target", t.Name, where)
	_, model := f.FindModel(t.Serves)
	_, service := f.FindService(t.Serves)
	c.require(model || service, where, "serves %q, which is no model or service", t.Serves)
	_, err := netip.ParseAddrPort(t.Agent)
	c.require(err == nil, where, "agent must be an IP address and port, not %q", t.Agent)
	c.require(t.Domain != "", where, "domain must not be empty")
	c.require(t.Capacity >= 1 && t.Capacity <= maxTargetCapacity, where, "capacity must be 1 to %d, not %d", maxTargetCapacity, t.Capacity)
}
