package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/gateway"
)

const (
	// previewTimeout bounds the call to a router.
	previewTimeout = 5 * time.Second
	// maxPreviewBytes bounds its response.
	maxPreviewBytes = 16 << 20
)

// routeCommand prints where a request would go now, and why, without sending it.
type routeCommand struct {
	router  string
	parts   string
	most    int
	request gateway.PreviewRequest
}

// Name implements subcommands.Command.
func (*routeCommand) Name() string { return "route" }

// Synopsis implements subcommands.Command.
func (*routeCommand) Synopsis() string {
	return "explain where a gateway would send a request now, without sending it"
}

// Usage implements subcommands.Command.
func (*routeCommand) Usage() string {
	return "route -router ADDRESS -host HOST -path PATH [flags]: ADDRESS is the gateway's metricsAddress\n"
}

// SetFlags implements subcommands.Command.
func (c *routeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "127.0.0.1:9464", "the gateway's metricsAddress")
	f.StringVar(&c.request.Host, "host", "", "host name of the request")
	f.StringVar(&c.request.Path, "path", "/", "path of the request")
	f.StringVar(&c.request.Organisation, "organisation", "", "organisation that would send it")
	f.StringVar(&c.request.ID, "id", "", "ID of the request, which picks a service where a route has several")
	f.StringVar(&c.request.Model, "model", "", "model")
	f.Int64Var(&c.request.PromptTokens, "promptTokens", 0, "tokens of the prompt")
	f.Int64Var(&c.request.MaxOutputTokens, "outputTokens", 0, "largest output in tokens")
	f.StringVar(&c.parts, "parts", "", "parts of the prompt in order, as ID:TOKENS,ID:TOKENS")
	f.IntVar(&c.most, "most", 10, "how many targets to print")
}

// Execute implements subcommands.Command.
func (c *routeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.request.Host == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if c.parts != "" {
		var err error
		if c.request.PromptParts, err = gateway.ParsePromptParts(c.parts); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitUsageError
		}
	}
	p, err := fetchPreview(ctx, c.router, c.request)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	printPreview(os.Stdout, p, c.most)
	return subcommands.ExitSuccess
}

func fetchPreview(ctx context.Context, router string, r gateway.PreviewRequest) (*gateway.Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router+gateway.PreviewPath+"?"+r.Query().Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "ask the router")
	}
	resp, err := exchanger.NewClient(&net.Dialer{}, 0).Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask the router")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPreviewBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the router's reply")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the router replies %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return gateway.DecodePreview(body)
}

func printPreview(w io.Writer, p *gateway.Preview, most int) {
	fmt.Fprintf(w, "router %s, configuration %d: route %s, service %s, priority %d\n", p.Router, p.Version, p.Route, p.Service, p.Priority)
	if t := p.Tokens; t != nil {
		source := "the router's own holding"
		if t.Free < t.Needed {
			source = "a draw, or a loan of " + t.Lenders
		}
		fmt.Fprintf(w, "tokens: needs %d from %s; free here %d of %d held, others hold %d, budget %d, spent %d\n",
			t.Needed, source, t.Free, t.Held, t.HeldByOthers, t.Limit, t.Spent)
	}
	if len(p.Targets) == 0 {
		fmt.Fprintln(w, "no target: the request would be refused")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "rank\ttarget\tdomain\tstate\tcost\twait\tpreferred\tcached\trunning\tpending")
	for i, t := range p.Targets[:min(len(p.Targets), max(most, 0))] {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.0f\t%.0f\t%t\t%t\t%d\t%d\n", i+1, t.ID, t.Domain, t.State, t.Cost, t.Wait, t.Preferred, t.Cached, t.Running, t.PendingTokens)
	}
	_ = table.Flush() // standard output
	if left := len(p.Targets) - most; left > 0 {
		fmt.Fprintf(w, "and %d more (-most)\n", left)
	}
}
