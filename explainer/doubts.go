package explainer

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// messagePause is the message of the lines about pauses of a daemon.
const messagePause = "forwarder: daemon did not run"

// withPauses returns the lines about a request and those about pauses, during the request, of the daemons that served
// it, in order of time.
func withPauses(lines, all []Line) []Line {
	begins, ends := map[string]time.Time{}, map[string]time.Time{}
	for _, l := range lines {
		begin := l.Time.Add(-millisOf(l.Fields["held_ms"]))
		if known, ok := begins[l.Daemon]; !ok || begin.Before(known) {
			begins[l.Daemon] = begin
		}
		ends[l.Daemon] = l.Time // They are in order.
	}
	merged := slices.Clone(lines)
	for _, l := range all {
		begin, ok := begins[l.Daemon]
		if l.Message == messagePause && ok && l.Time.After(begin) && l.Time.Add(-millisOf(l.Fields["since_ms"])).Before(ends[l.Daemon]) {
			merged = append(merged, l)
		}
	}
	slices.SortStableFunc(merged, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return merged
}

// millisOf returns the duration of a field in milliseconds; zero if it is absent.
func millisOf(v any) time.Duration {
	ms, _ := v.(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// writeDoubts writes what in the lines about a request speaks against the promise that it was not run.
func writeDoubts(w io.Writer, lines []Line) {
	last := lines[len(lines)-1]
	if promisesNotRun(last.Fields["status"]) && textOf(last.Fields["reason"]) != "served" {
		unproven := false
		for _, l := range lines {
			if l.Fields["not_run"] == false {
				unproven = true
				fmt.Fprintf(w, "doubt: refused with the promise that it was not run, but nothing proves it of the attempt at %v\n", l.Fields["endpoint"])
			}
		}
		if !unproven && last.Fields["proof"] == "none" {
			fmt.Fprintln(w, "doubt: refused with the promise that it was not run, but nothing proves it of an attempt")
		}
	}
}

// promisesNotRun reports whether a client takes the status as a promise that the request was not run.
func promisesNotRun(status any) bool {
	n, _ := status.(float64)
	return n == 408 || n == 421 || n == 429 || n == 503
}
