package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"monsoonspar.example/state/parser"
)

// checkCmd checks files without using them.
type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Settings or manifest; the sections tell which."`
}

// Help returns the text of check --help.
func (checkCmd) Help() string {
	return `Every problem of every file is printed to standard error in one run, each as
file:line: section.key: what is wrong. The exit code is 3 if there is any.`
}

// Run checks each file and returns all problems as one error.
func (cmd checkCmd) Run(c console) error {
	var failed []string
	var first error
	for _, file := range cmd.Files {
		kind, err := checkFile(file)
		if err != nil {
			failed = append(failed, err.Error())
			if first == nil || errors.Is(first, parser.ErrInvalid) {
				first = err
			}
			continue
		}
		fmt.Fprintf(c.Stdout, "%s: valid %s\n", file, kind)
	}
	if first == nil {
		return nil
	}
	return failures{text: strings.Join(failed, "\n"), cause: first}
}

// failures prints the errors of several files and unwraps to one of them.
type failures struct {
	text  string
	cause error
}

// Error returns the errors, one a line.
func (f failures) Error() string { return f.text }

// Unwrap returns the error that decides the exit code.
func (f failures) Unwrap() error { return f.cause }

// checkFile checks one file and returns its kind.
func checkFile(file string) (parser.Kind, error) {
	text, err := readText(file)
	if err != nil {
		return "", err
	}
	return parser.Check(file, text)
}

// readText reads a file, but not much more than the parser takes.
func readText(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, parser.MaxBytes+1))
	return text, errors.Wrap(err, file)
}
