// Package explainer extracts the history of one request from the logs of daemons and
// explains its outcome.
//
// The daemons log JSON lines. A line about a request carries its ID in the field
// request, and the last one carries the reason for the outcome in the field reason. A client that
// resumes a stream sends a request with another ID; the lines about both carry the same stream_key, and
// those about the second one the field resumed_after.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// ErrNoLines means that no log line contains the ID of the request.
var ErrNoLines = errors.New("no log mentions the request")

// Line is one log line about a request.
type Line struct {
	Request string
	Time    time.Time
	Daemon  string
	Message string
	Fields  map[string]any // All other fields, except level.
}

// Read returns the lines in r about the request with the given ID, those about requests that
// resume a stream, and those about pauses of daemons. It ignores text before the JSON object of a line, such as the prefix of a log collector, and
// lines without a JSON object.
func Read(r io.Reader, request string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Bytes()
		if !slices.ContainsFunc([]string{request, fieldResumedAfter, messagePause}, func(s string) bool { return bytes.Contains(text, []byte(s)) }) {
			continue
		}
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(text[start:], &fields) != nil || fields["request"] != request && fields[fieldResumedAfter] == nil && fields["message"] != messagePause {
			continue
		}
		lines = append(lines, newLine(fields))
	}
	return lines, errors.Wrap(s.Err(), "read log")
}

// newLine returns the Line for the fields of a log line. It removes the common
// fields from the map.
func newLine(fields map[string]any) Line {
	l := Line{Request: textOf(fields["request"]), Daemon: textOf(fields["daemon"]), Message: textOf(fields["message"]), Fields: fields}
	// A line without a valid time sorts first.
	l.Time, _ = time.Parse(time.RFC3339, textOf(fields["time"]))
	for _, name := range []string{"daemon", "message", "time", "level", "request"} {
		delete(fields, name)
	}
	return l
}

func textOf(v any) string {
	s, _ := v.(string)
	return s
}

// Names of the fields that connect a resumed stream to the one that broke off.
const (
	fieldResumedAfter = "resumed_after" // ID of the last event that the client had received.
	fieldStreamKey    = "stream_key"    // Identifies requests that differ in their IDs only.
)

// related returns the lines about the request, and the requests that may have resumed its stream with
// their lines: they are the same but for their IDs and came later.
func related(request string, lines []Line) (own []Line, resumed map[string][]Line) {
	resumed = map[string][]Line{}
	keys := map[string]bool{}
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
			keys[textOf(l.Fields[fieldStreamKey])] = true
		}
	}
	delete(keys, "")
	for _, l := range lines {
		if l.Request != request && keys[textOf(l.Fields[fieldStreamKey])] && !l.Time.Before(own[0].Time) {
			resumed[l.Request] = append(resumed[l.Request], l)
		}
	}
	return own, resumed
}

// Explain writes the lines about a request in order of time, its outcome, and where its client went
// on. It returns ErrNoLines if there are no lines about the request.
func Explain(w io.Writer, request string, all []Line) error {
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	lines, resumed := related(request, all)
	if len(lines) == 0 {
		return errors.Wrap(ErrNoLines, request)
	}
	explainOne(w, request, lines, all)
	for _, id := range slices.Sorted(maps.Keys(resumed)) {
		first := resumed[id][0]
		fmt.Fprintf(w, "\nresumed after event %v at %s by ", first.Fields[fieldResumedAfter], first.Daemon)
		explainOne(w, id, resumed[id], all)
	}
	return nil
}

// explainOne writes the lines about one request, with the pauses of its daemons, and its outcome.
func explainOne(w io.Writer, request string, lines, all []Line) {
	fmt.Fprintf(w, "request %s\n", request)
	for _, l := range withPauses(lines, all) {
		fmt.Fprintf(w, "%s %s %s%s\n", l.Time.Format("15:04:05.000"), l.Daemon, l.Message, formatFields(l.Fields))
	}
	last := lines[len(lines)-1]
	reason := textOf(last.Fields["reason"])
	if reason == "" {
		fmt.Fprintln(w, "outcome: not in these logs; the daemon was terminated, or its log is missing")
		writeDoubts(w, lines)
		return
	}
	fmt.Fprintf(w, "outcome: %s: %s\n", reason, cmp.Or(reasonTexts[reason], "no further explanation"))
	writeDoubts(w, lines)
}

// formatFields formats the fields that are not empty, sorted by name.
func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[name]; v != "" && v != nil {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}

// reasonTexts explains the values of the reason field.
var reasonTexts = map[string]string{
	"served":                "the response of the endpoint was passed on to the client",
	"no_manifest":           "the daemon had just started and had no manifest; see its log lines about dependencies",
	"malformed":             "the request of the client could not be parsed",
	"malformed_event_id":    "the client resumed a stream after an event whose ID is not a whole number",
	"no_route":              "the manifest in force has no route for the host and path",
	"unknown_key":           "the API key belongs to no customer of the manifest in force",
	"too_large":             "the request exceeds a limit of the manifest",
	"no_endpoint":           "the service had no endpoint that accepts requests; see the log lines \"endpoint changed\"",
	"endpoints_unreachable": "no endpoint of the service could be reached from this daemon; the network is partitioned, or all have crashed",
	"no_room":               "no engine had enough free memory in time, or too many late requests were queued ahead; see the line before about the queue",
	"refused_by_endpoints":  "every endpoint that was tried refused the request before executing it",
	"retry_budget_spent":    "an earlier attempt failed or was refused, and the retry budget allowed no further one",
	"outcome_unknown":       "the request was sent, but no complete response was received; it may have been executed, so it was not retried",
	"timeout":               "the deadline of the client or the route passed",
	"client_gone":           "the client closed its connection before the response was complete",
	"stream_cut":            "the engine was lost, or its response ended early, and the generation could not be continued from any copy of its KV cache; see the lines before",
	"domain_evacuated":      "the operators have evacuated the failure domains of all endpoints that could serve the request; see the log lines \"evacuations in force\"",
	"no_allowed_region":     "no endpoint of the service is in a region that the route and the customer allow; see the allowed regions in the manifest and the section regions of the settings",
	"endpoints_limited":     "the endpoints of the service limit their requests, and the limits permitted no further one; see the log lines \"limit of an endpoint changed\"",
	"endpoints_cold":        "the endpoints of the service that could take the request are cold, and had got what they can handle; see the log lines \"endpoint is cold\"",
	"endpoints_deferred":    "every endpoint of the service has refused a request of this daemon and asked for none until later; see the log lines \"endpoint wants no requests for a time\"",
	"prompt_quarantined":    "a part of the prompt has crashed several engines; see subject, part_id, crashes and engines in the line before, and the log lines \"quarantined; endpoints crash on it\"",
	"request_quarantined":   "requests that are the same have crashed several endpoints; see subject, crashes and engines in the line before, and the log lines \"quarantined; endpoints crash on it\"",
	"daemon_memory":         "the memory of the daemon for requests and responses was used up; see bytes_held in its metrics, and customers with many slow readers",
	"caller_stalled":        "the client took no bytes of the response for the stall time; its connection was closed, and the work of the endpoint ended",
	"response_cut":          "a large response was being passed on when the endpoint broke off; the client got fewer bytes than announced, or chunks without the last one",
	"daemon_stopping":       "the daemon was stopping, and the generation would probably have run for longer",
}
