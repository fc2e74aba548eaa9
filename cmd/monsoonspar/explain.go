package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"monsoonspar.example/explainer"
)

// explainCmd prints the history of a request from the logs of daemons.
type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Logs of daemons; standard input if none is given."`
}

// Run reads the logs and prints the history of the request.
func (cmd *explainCmd) Run(c console) error {
	var lines []explainer.Line
	if len(cmd.Logs) == 0 {
		return cmd.print(c, os.Stdin)
	}
	for _, name := range cmd.Logs {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		found, err := explainer.Read(f, cmd.Request)
		_ = f.Close() // It was only read.
		if err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	return explainer.Explain(c.Stdout, cmd.Request, lines)
}

// print prints the history of the request from a single log.
func (cmd *explainCmd) print(c console, r io.Reader) error {
	lines, err := explainer.Read(r, cmd.Request)
	if err != nil {
		return err
	}
	return explainer.Explain(c.Stdout, cmd.Request, lines)
}
