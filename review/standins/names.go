package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire holds the names of header fields, paths and body fields that are spoken with the daemon.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}()

// name returns a name of the wire protocol by its key in wire.json.
func name(key string) string {
	n, ok := wire[key]
	if !ok {
		panic("wire.json has no name for " + key)
	}
	return n
}
