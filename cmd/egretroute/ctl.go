package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/router"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

const (
	ctlTimeout = 30 * time.Second
	// patchIDLength is the number of hexadecimal digits of a document's hash that form
	// its patch ID.
	patchIDLength = 24
)

// ctlCommand is the operators' client of a router.
type ctlCommand struct {
	router string
	key    string
	file   string
	asJSON bool

	out io.Writer
}

// Name implements subcommands.Command.
func (*ctlCommand) Name() string { return "ctl" }

// Synopsis implements subcommands.Command.
func (*ctlCommand) Synopsis() string { return "declare and inspect the fleet" }

// Usage implements subcommands.Command.
func (*ctlCommand) Usage() string {
	return `ctl [flags] show|diff|apply|health|budget|bills|targets|holders|report

  show     print the active configuration as a fleet document
  diff     -f FILE: print the changes that the file would make
  apply    -f FILE: make the file the next version if it is based on the active version
  health   print the readiness of the router and its view of the fleet
  budget   print every budget
  bills    print the ledger
  targets  print the targets as the router sees them
  holders  print dead holders whose tokens are still held
  report   print the burn rates of the service-level objectives
`
}

// SetFlags implements subcommands.Command.
func (c *ctlCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "http://127.0.0.1:18081", "operator address of a router")
	f.StringVar(&c.key, "key", os.Getenv("EGRETROUTE_KEY"), "operator's key; EGRETROUTE_KEY by default")
	f.StringVar(&c.file, "f", "", "fleet document")
	f.BoolVar(&c.asJSON, "json", false, "print the router's JSON response")
}

// Execute implements subcommands.Command.
func (c *ctlCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	c.out = os.Stdout
	verb := f.Arg(0)
	if f.NArg() > 1 {
		// Flags may also follow the verb.
		rest := flag.NewFlagSet(verb, flag.ContinueOnError)
		c.setFlagsWithCurrentDefaults(rest)
		if err := rest.Parse(f.Args()[1:]); err != nil {
			return subcommands.ExitUsageError
		}
	}
	run, ok := map[string]func(context.Context) error{
		"show": c.show, "diff": c.diff, "apply": c.apply, "budget": c.budget, "bills": c.bills,
		"health": c.health, "targets": c.targets, "holders": c.holders, "report": c.report,
	}[verb]
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return exitStatus(run(ctx))
}

// setFlagsWithCurrentDefaults declares the flags with their current values as defaults,
// so that flags before the verb keep their values.
func (c *ctlCommand) setFlagsWithCurrentDefaults(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", c.router, "")
	f.StringVar(&c.key, "key", c.key, "")
	f.StringVar(&c.file, "f", c.file, "")
	f.BoolVar(&c.asJSON, "json", c.asJSON, "")
}

// call sends one request to the router and returns the body of the response.
func (c *ctlCommand) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.router+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := exchanger.NewClient(&net.Dialer{}, 0).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(response))
	}
	return response, nil
}

func (c *ctlCommand) health(ctx context.Context) error {
	document, err := c.call(ctx, http.MethodGet, "/healthz", nil)
	if err == nil {
		_, err = c.out.Write(document)
	}
	return err
}

func (c *ctlCommand) show(ctx context.Context) error {
	document, err := c.call(ctx, http.MethodGet, "/v1/fleet", nil)
	if err == nil {
		_, err = c.out.Write(document)
	}
	return err
}

// readFleet reads and checks the fleet document given by -f.
func (c *ctlCommand) readFleet() ([]byte, *declarer.Fleet, error) {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return nil, nil, err
	}
	fleet, err := declarer.Decode(text)
	if err != nil {
		return nil, nil, err
	}
	faults := declarer.Check(fleet)
	for _, f := range faults {
		fmt.Fprintln(c.out, f)
	}
	if len(faults) > 0 {
		return nil, nil, fmt.Errorf("%s has %d faults", c.file, len(faults))
	}
	return text, fleet, nil
}

func (c *ctlCommand) diff(ctx context.Context) error {
	_, fleet, err := c.readFleet()
	if err != nil {
		return err
	}
	document, err := c.call(ctx, http.MethodGet, "/v1/fleet", nil)
	if err != nil {
		return err
	}
	current, err := declarer.Decode(document)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "active version %d, file based on version %d\n", current.Version, fleet.Version)
	for _, line := range declarer.Diff(current, fleet) {
		fmt.Fprintln(c.out, line)
	}
	return nil
}

// apply sends the file as a patch. The patch ID is derived from the document, so the
// same file can be sent again after a lost response.
func (c *ctlCommand) apply(ctx context.Context) error {
	text, _, err := c.readFleet()
	if err != nil {
		return err
	}
	patch, err := json.Marshal(router.PatchDocument{
		PatchID: declarer.HashKey(string(text))[:patchIDLength], Document: string(text),
	})
	if err != nil {
		return err
	}
	response, err := c.call(ctx, http.MethodPost, "/v1/patches", patch)
	if err != nil {
		return err
	}
	var applied router.PatchResponse
	if err := json.Unmarshal(response, &applied); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "version %d is active; set version = %d in %s before the next patch\n", applied.Version, applied.Version, c.file)
	return nil
}

func (c *ctlCommand) budget(ctx context.Context) error {
	return printTable(ctx, c, "/v1/budgets", "ORGANISATION\tLIMIT\tSPENT\tREMAINING\tHELD\tUNCERTAIN", func(d router.BudgetDocument) string {
		return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d", d.Organisation, d.Limit, d.Spent, d.Remaining, d.Held, d.Uncertain)
	})
}

func (c *ctlCommand) bills(ctx context.Context) error {
	return printTable(ctx, c, "/v1/bills", "ORGANISATION\tREQUEST\tAMOUNT\tUNCERTAIN\tTARGET\tPAYER", func(d router.BillDocument) string {
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%s\t%s/%d", d.Organisation, d.RequestID, d.Amount, d.Uncertain, d.Target, d.Payer, d.Sequence)
	})
}

func (c *ctlCommand) targets(ctx context.Context) error {
	return printTable(ctx, c, "/v1/targets", "TARGET\tSERVES\tDOMAIN\tLINKED\tLEAVING\tASIDE\tIN FLIGHT\tLOAD", func(d router.TargetDocument) string {
		return fmt.Sprintf("%s\t%s\t%s\t%t\t%t\t%t\t%d\t%.2f", d.Name, d.Serves, d.Domain, d.Linked, d.Draining, d.Ejected, d.InFlight, d.Load)
	})
}

func (c *ctlCommand) holders(ctx context.Context) error {
	return printTable(ctx, c, "/v1/holders", "INCARNATION\tHELD\tMISSING AGENTS", func(d router.StuckHolderDocument) string {
		return fmt.Sprintf("%s\t%d\t%v", d.Incarnation, d.Held, d.Agents)
	})
}

func (c *ctlCommand) report(ctx context.Context) error {
	return printTable(ctx, c, "/v1/report/burn", "ORGANISATION\tPRIORITY\tOBJECTIVE\tREQUESTS\tREFUSED\tNO BUDGET\t5M\t30M\t1H\t6H\tALERT", func(d router.BurnDocument) string {
		return fmt.Sprintf("%s\t%s\t%.3f\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%s", d.Organisation, d.Priority, d.Objective,
			d.Requests, d.Refused, d.BudgetRefused, d.Burn5m, d.Burn30m, d.Burn1h, d.Burn6h, d.Alert)
	})
}

// printTable fetches a list of documents and prints one row per document, or JSON.
func printTable[T any](ctx context.Context, c *ctlCommand, path, header string, formatRow func(T) string) error {
	response, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if c.asJSON {
		_, err = c.out.Write(response)
		return err
	}
	var docs []T
	if err := json.Unmarshal(response, &docs); err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, d := range docs {
		fmt.Fprintln(w, formatRow(d))
	}
	return w.Flush()
}
