package storer

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"
)

// Memory is an in-memory Table and Committer for stand-ins and tests.
type Memory struct {
	mu      sync.Mutex // guards all below
	rows    map[string]Row
	commits uint64
	reads   uint64
	era     Era
	// Now returns the time of the table's monotonic clock; if nil, the time is always 0.
	Now func() time.Duration
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]Row)}
}

// SetEra sets the era that replies tell.
func (m *Memory) SetEra(era Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era = era
}

// Copy returns a function that replaces all rows by those of now and begins a new era.
func (m *Memory) Copy() (restore func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows, commits := maps.Clone(m.rows), m.commits
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.rows, m.commits = maps.Clone(rows), commits
		m.era++
	}
}

// Era returns the current era.
func (m *Memory) Era() Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Read implements Table.Read.
func (m *Memory) Read(_ context.Context, keys ...string) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	out := make([]Row, len(keys))
	for i, k := range keys {
		out[i] = m.rows[k]
		out[i].Key = k
	}
	return out, nil
}

// Scan implements Table.Scan.
func (m *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var out []Row
	for k, r := range m.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// Commit implements Table.Commit.
func (m *Memory) Commit(ctx context.Context, c Commit) error {
	_, err := m.CommitWithReceipt(ctx, c)
	return err
}

// CommitWithReceipt implements Committer.CommitWithReceipt.
func (m *Memory) CommitWithReceipt(_ context.Context, c Commit) (Receipt, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conflict := false
	current := make([]Row, 0, len(c.Conditions))
	for _, cond := range c.Conditions {
		row, ok := m.rows[cond.Key]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Version != cond.Version
	}
	if conflict {
		return Receipt{}, &ConflictError{Rows: current, Clock: m.clock(), Era: m.era}
	}
	m.commits++
	for _, w := range c.Writes {
		if w.Value == nil {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = Row{Key: w.Key, Version: m.commits, Value: w.Value}
	}
	return Receipt{Version: m.commits, Clock: m.clock(), Era: m.era}, nil
}

// Commits returns the number of commits that took effect.
func (m *Memory) Commits() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits
}

// Reads returns the number of reads and scans served.
func (m *Memory) Reads() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

func (m *Memory) clock() time.Duration {
	if m.Now == nil {
		return 0
	}
	return m.Now()
}
