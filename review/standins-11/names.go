package main

import (
	_ "embed"
	"encoding/json"
	"sync"
)

//go:embed names.json
var namesText []byte

//go:embed manifest.json
var manifest json.RawMessage

// names are names of the platform's protocols.
var names = func() (n struct {
	Seal, Instance, Tokens, Prompt, Copy, Move, Used string
	NotRun                                           string `json:"not_run"`
},
) {
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}()

// group starts the goroutines of the stand-ins, which end with the program.
var group sync.WaitGroup
