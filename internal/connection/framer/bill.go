package framer

// SplitBill distributes the usage of a run, in tokens, over its parts in their order. No
// bill exceeds the amount of its part.
func (m *Run) SplitBill(usage int64) []Bill {
	out := make([]Bill, 0, len(m.Parts))
	for _, p := range m.Parts {
		amount := min(usage, p.Amount)
		usage -= amount
		out = append(out, Bill{
			Organisation: m.Organisation, RequestID: m.RequestID, Payer: p.Payer, Sequence: p.Sequence,
			Amount: amount, Target: m.Target,
		})
	}
	return out
}
