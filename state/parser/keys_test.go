package parser

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/cataloger"
)

// documentedKeys returns the keys in the tables of a page, grouped by the section
// that the heading above the table names. Tables under other headings are
// ignored.
func documentedKeys(t *testing.T, page string) map[string][]string {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	keys := make(map[string][]string)
	title := ""
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "## ") {
			title = ""
		}
		if rest, ok := strings.CutPrefix(line, "### ["); ok {
			title, _, _ = strings.Cut(rest, "]")
			title = strings.TrimSuffix(title, " NAME")
		}
		if rest, ok := strings.CutPrefix(line, "| `"); ok && title != "" {
			key, _, _ := strings.Cut(rest, "`")
			keys[title] = append(keys[title], key)
		}
	}
	return keys
}

// The documentation page for operators must list every key of every section.
func TestEveryKeyIsDocumented(t *testing.T) {
	want := make(map[string][]string)
	add := func(title string, fields []field) {
		for _, f := range fields {
			want[title] = append(want[title], f.key)
		}
	}
	for _, s := range settingsSections(&Settings{}) {
		add(s.kind, s.fields)
	}
	add("deployment", deploymentFields(&cataloger.Manifest{}))
	add("weights", weightsFields(&cataloger.Weights{}))
	add("defaults", defaultsFields(&cataloger.Defaults{}))
	add("priority", priorityFields(&cataloger.Priority{}))
	add("customer", customerFields(&cataloger.Customer{}))
	add("model", modelFields(&cataloger.Model{}))
	add("service", serviceFields(&cataloger.Service{}))
	add("domain", domainFields(&cataloger.Domain{}))
	add("endpoint", endpointFields(&cataloger.Endpoint{}))
	assert.DeepEqual(t, documentedKeys(t, "../../docs/operating/manifest.md"), want)
}
