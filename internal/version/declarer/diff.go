package declarer

import (
	"fmt"
	"reflect"
)

// Diff lists the items that differ between two fleets, one line per item: + for
// an added, ~ for a changed and - for a removed item.
func Diff(from, to *Fleet) []string {
	var out []string
	out = append(out, diffItems("organisation", from.Organisations, to.Organisations, func(o Organisation) string { return o.Name })...)
	out = append(out, diffItems("model", from.Models, to.Models, func(m Model) string { return m.Name })...)
	out = append(out, diffItems("service", from.Services, to.Services, func(s Service) string { return s.Name })...)
	out = append(out, diffItems("target", from.Targets, to.Targets, func(t Target) string { return t.Name })...)
	out = append(out, diffItems("objective", from.Objectives, to.Objectives, func(o Objective) string { return o.Priority.String() })...)
	return out
}

// diffItems compares two lists of items, matching them by name.
func diffItems[T any](kind string, from, to []T, name func(T) string) []string {
	unmatched := make(map[string]T, len(from))
	for _, v := range from {
		unmatched[name(v)] = v
	}
	var out []string
	for _, v := range to {
		before, ok := unmatched[name(v)]
		delete(unmatched, name(v))
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ %s %q", kind, name(v)))
		case !reflect.DeepEqual(before, v):
			out = append(out, fmt.Sprintf("~ %s %q: %s", kind, name(v), diffFields(before, v)))
		}
	}
	for _, v := range from {
		if _, removed := unmatched[name(v)]; removed {
			out = append(out, fmt.Sprintf("- %s %q", kind, name(v)))
		}
	}
	return out
}

// diffFields lists the fields that differ between two items, with both values.
func diffFields[T any](from, to T) string {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	out := ""
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		if out != "" {
			out += ", "
		}
		out += fmt.Sprintf("%s %v -> %v", a.Type().Field(i).Name, a.Field(i), b.Field(i))
	}
	return out
}
