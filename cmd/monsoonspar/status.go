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

// statusTimeout bounds the wait for a daemon's answer.
const statusTimeout = 5 * time.Second

// statusCmd shows what a daemon knows.
type statusCmd struct {
	Admin string `arg:"" help:"Admin address of any daemon, IP and port."`
	JSON  bool   `help:"Print the daemon's answer as it is."`
}

// Help describes the command at length.
func (*statusCmd) Help() string {
	return `Asks one daemon what it knows: the daemons with the manifest generation in force
at each, the endpoints, and the leases.`
}

// Run asks the daemon and prints its answer.
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
	var st server.Status
	if err := json.NewDecoder(res.Body).Decode(&st); err != nil {
		return errors.Wrap(err, "status: the answer is not a daemon's")
	}
	if cmd.JSON {
		enc := json.NewEncoder(c.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(st)
	}
	return printStatus(c, st)
}

// printStatus prints a status as tables.
func printStatus(c console, st server.Status) error {
	w := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "daemon %s: ready=%t draining=%t generation=%d permits=%d owns=%d endpoints\n\n",
		st.Name, st.Ready, st.Draining, st.Generation, st.Permits, len(st.Owned))
	fmt.Fprintf(w, "lease of %s: holder %q, held here=%t, fence=%d\n\n", st.Domain, st.Lease.Holder, st.Lease.Held, st.Lease.Fence)
	fmt.Fprintln(w, "DAEMON\tFAILURE DOMAIN\tSTATE\tGENERATION\tADDRESS")
	for _, m := range st.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Name, m.Domain, m.State, m.Generation, m.Addr)
	}
	fmt.Fprintln(w, "\nENDPOINT\tKIND\tFAILURE DOMAIN\tLEAVING\tDRAINING\tEJECTED")
	for _, e := range st.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\n", e.Name, e.Kind, e.Domain, e.Leaving, e.Drained, e.Ejected)
	}
	return w.Flush()
}
