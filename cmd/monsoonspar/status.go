package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"monsoonspar.example/server"

	"github.com/pkg/errors"
)

// statusTimeout bounds the request to the daemon.
const statusTimeout = 5 * time.Second

// statusCmd prints the status of a deployment as seen by one daemon.
type statusCmd struct {
	Admin string `arg:"" help:"Admin address of any daemon, as IP:PORT."`
	JSON  bool   `help:"Print the response of the daemon as JSON."`
}

// Help returns the text of status --help.
func (*statusCmd) Help() string {
	return `Prints the state of the deployment as seen by one daemon: the daemons with the
manifest generation in force at each, the endpoints, and the lease of its failure domain.`
}

// Run requests the status of the daemon and prints it.
func (cmd *statusCmd) Run(ctx context.Context, c console) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.Admin+"/status", nil)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	defer func() { _ = res.Body.Close() }()
	var status server.Status
	if err := json.NewDecoder(res.Body).Decode(&status); err != nil {
		return errors.Wrap(err, "status: decode response")
	}
	if cmd.JSON {
		enc := json.NewEncoder(c.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(status)
	}
	return printStatus(c, status)
}

// printStatus prints a status as tables.
func printStatus(c console, status server.Status) error {
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "daemon %s: ready=%t draining=%t generation=%d permits=%d owns=%d endpoints\n\n",
		status.Name, status.Ready, status.Draining, status.Generation, status.Permits, len(status.OwnedEndpoints))
	fmt.Fprintf(w, "lease of %s: holder %q, held here=%t, fence=%d\n\n", status.Domain, status.Lease.Holder, status.Lease.Held, status.Lease.FencingToken)
	fmt.Fprintln(w, "DAEMON\tFAILURE DOMAIN\tSTATE\tGENERATION\tADDRESS")
	for _, m := range status.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Name, m.Domain, m.State, m.Generation, m.Addr)
	}
	fmt.Fprintln(w, "\nENDPOINT\tKIND\tFAILURE DOMAIN\tLEAVING\tDRAINING\tEJECTED")
	for _, e := range status.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\n", e.Name, e.Kind, e.Domain, e.ShuttingDown, e.Draining, e.Ejected)
	}
	return w.Flush()
}
