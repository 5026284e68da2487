package gateway

// abandonedRequest is a request that was canceled while it ran at a target. The target may
// still crash under it.
type abandonedRequest struct {
	id     string
	digest string
	run    string
}

// maxAbandoned bounds the abandoned requests of a target; the oldest are dropped.
const maxAbandoned = 16

// recordAbandoned records a request that was canceled while it ran at a target, and reports
// whether it is the first one since takeAbandoned.
func (t *targetTracker) recordAbandoned(target string, r abandonedRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	s.abandoned = append(s.abandoned[max(0, len(s.abandoned)+1-maxAbandoned):], r)
	return len(s.abandoned) == 1
}

// takeAbandoned returns the requests that were canceled at a target, and forgets them.
func (t *targetTracker) takeAbandoned(target string) []abandonedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	abandoned := s.abandoned
	s.abandoned = nil
	return abandoned
}
