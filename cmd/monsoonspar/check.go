package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"monsoonspar.example/state/parser"
)

// checkCmd validates settings and manifest files.
type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Settings or manifest; detected from the sections."`
}

// Help returns the text of check --help.
func (checkCmd) Help() string {
	return `Every problem of every file is printed to standard error in one run, each as
file:line: section.key: what is wrong. The exit code is 3 if there is any.`
}

// Run checks each file and returns all problems as one error.
func (cmd checkCmd) Run(c console) error {
	var messages []string
	var exitErr error
	for _, file := range cmd.Files {
		kind, err := checkFile(file)
		if err != nil {
			messages = append(messages, err.Error())
			if exitErr == nil || errors.Is(exitErr, parser.ErrInvalid) {
				exitErr = err
			}
			continue
		}
		fmt.Fprintf(c.Stdout, "%s: valid %s\n", file, kind)
	}
	if exitErr == nil {
		return nil
	}
	return checkError{text: strings.Join(messages, "\n"), cause: exitErr}
}

// checkError combines the errors of several files and unwraps to one of them.
type checkError struct {
	text  string
	cause error
}

// Error returns the errors, one per line.
func (e checkError) Error() string { return e.text }

// Unwrap returns the error that determines the exit code.
func (e checkError) Unwrap() error { return e.cause }

// checkFile validates a file and returns its kind.
func checkFile(file string) (parser.Kind, error) {
	text, err := readText(file)
	if err != nil {
		return "", err
	}
	return parser.Check(file, text)
}

// readText reads a file, up to one byte more than the parser accepts.
func readText(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, parser.MaxBytes+1))
	return text, errors.Wrap(err, file)
}
