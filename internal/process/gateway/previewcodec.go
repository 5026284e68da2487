package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// PreviewPath is where a router's metrics listener serves previews as JSON.
const PreviewPath = "/route"

// Query returns the query that EncodedPreview decodes.
func (r PreviewRequest) Query() url.Values {
	parts := make([]string, len(r.PromptParts))
	for i, p := range r.PromptParts {
		parts[i] = p.ID + ":" + strconv.FormatInt(p.Tokens, 10)
	}
	return url.Values{
		"host": {r.Host}, "path": {r.Path}, "organisation": {r.Organisation}, "id": {r.ID}, "model": {r.Model},
		"promptTokens": {strconv.FormatInt(r.PromptTokens, 10)}, "outputTokens": {strconv.FormatInt(r.MaxOutputTokens, 10)},
		"timeout": {r.Timeout.String()}, "parts": {strings.Join(parts, ",")},
	}
}

// decodePreviewRequest decodes a query. Numbers that are missing are 0.
func decodePreviewRequest(q url.Values) (PreviewRequest, error) {
	r := PreviewRequest{Host: q.Get("host"), Path: q.Get("path"), Organisation: q.Get("organisation")}
	r.ID, r.Model = q.Get("id"), q.Get("model")
	var err error
	number := func(text string) int64 {
		if text == "" || err != nil {
			return 0
		}
		var n int64
		n, err = strconv.ParseInt(text, 10, 64)
		return n
	}
	r.PromptTokens, r.MaxOutputTokens = number(q.Get("promptTokens")), number(q.Get("outputTokens"))
	if text := q.Get("timeout"); text != "" && err == nil {
		r.Timeout, err = time.ParseDuration(text)
	}
	if parts := q.Get("parts"); parts != "" {
		r.PromptParts, err = ParsePromptParts(parts)
	}
	return r, errors.Wrap(err, "decode query")
}

// ParsePromptParts decodes a list of parts like a:800,b:410.
func ParsePromptParts(text string) ([]PromptPart, error) {
	var parts []PromptPart
	for _, word := range strings.Split(text, ",") {
		id, tokens, _ := strings.Cut(word, ":")
		n, err := strconv.ParseInt(tokens, 10, 64)
		if err != nil || id == "" || n < 0 {
			return nil, errors.Errorf("prompt part %q does not have the form ID:TOKENS", word)
		}
		parts = append(parts, PromptPart{ID: id, Tokens: n})
	}
	return parts, nil
}

// wirePreview is a Preview as JSON.
type wirePreview struct {
	Router   string       `json:"router"`
	Route    string       `json:"route"`
	Service  string       `json:"service"`
	Version  uint64       `json:"version"`
	Priority int          `json:"priority"`
	Targets  []wireTarget `json:"targets"`
	Tokens   *wireTokens  `json:"tokens,omitempty"`
}

type wireTarget struct {
	ID            string  `json:"id"`
	Domain        string  `json:"domain"`
	State         string  `json:"state"`
	Cost          float64 `json:"cost"`
	Wait          float64 `json:"wait"`
	Preferred     bool    `json:"preferred"`
	Cached        bool    `json:"cached"`
	Running       int     `json:"running"`
	PendingTokens int64   `json:"pendingTokens"`
}

type wireTokens struct {
	Needed       int64  `json:"needed"`
	Free         int64  `json:"free"`
	Held         int64  `json:"held"`
	Limit        int64  `json:"limit"`
	Spent        int64  `json:"spent"`
	HeldByOthers int64  `json:"heldByOthers"`
	Lenders      string `json:"lenders"`
}

func encodePreview(p *Preview) ([]byte, error) {
	w := wirePreview{Router: p.Router, Route: p.Route, Service: p.Service, Version: p.Version, Priority: p.Priority}
	for _, t := range p.Targets {
		w.Targets = append(w.Targets, wireTarget(t))
	}
	if t := p.Tokens; t != nil {
		w.Tokens = &wireTokens{Needed: t.Needed, Free: t.Free, Held: t.Held, Limit: t.Limit, Spent: t.Spent, HeldByOthers: t.HeldByOthers, Lenders: t.Lenders}
	}
	b, err := json.Marshal(w)
	return b, errors.Wrap(err, "encode preview")
}

// DecodePreview decodes what a router's PreviewPath returns.
func DecodePreview(b []byte) (*Preview, error) {
	var w wirePreview
	if err := json.Unmarshal(b, &w); err != nil {
		return nil, errors.Wrap(err, "decode preview")
	}
	p := &Preview{Router: w.Router, Route: w.Route, Service: w.Service, Version: w.Version, Priority: w.Priority}
	for _, t := range w.Targets {
		p.Targets = append(p.Targets, TargetPreview(t))
	}
	if t := w.Tokens; t != nil {
		p.Tokens = &TokenPreview{Needed: t.Needed, Free: t.Free, Held: t.Held, Limit: t.Limit, Spent: t.Spent, HeldByOthers: t.HeldByOthers, Lenders: t.Lenders}
	}
	return p, nil
}

// servePreview handles requests for PreviewPath.
func (g *Gateway) servePreview(w http.ResponseWriter, r *http.Request) {
	request, err := decodePreviewRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p, err := g.Preview(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	b, err := encodePreview(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // the client may have left
}
