// Package marker reads the marks that tests put into prompts and bodies, and
// writes the tokens that the engine stand-in makes of them. It lets a caller
// check that an answer is whole, its own and of one generation.
package marker

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrToken is returned for text that is no token of a stand-in.
var ErrToken = errors.New("not a token of a stand-in")

// Marks are the directives found in a text.
type Marks struct {
	ID     string // From [[id=…]]; a hash of the text if it has none.
	Tokens int    // From [[tokens=…]]; zero if it has none.
}

var (
	idPattern     = regexp.MustCompile(`\[\[id=([A-Za-z0-9_]{1,64})\]\]`)
	tokensPattern = regexp.MustCompile(`\[\[tokens=([0-9]{1,7})\]\]`)
)

// Parse finds the marks in text. The last of each kind counts.
func Parse(text string) Marks {
	m := Marks{ID: Hash(text)}
	if found := idPattern.FindAllStringSubmatch(text, -1); found != nil {
		m.ID = found[len(found)-1][1]
	}
	if found := tokensPattern.FindAllStringSubmatch(text, -1); found != nil {
		// The pattern admits only numbers that fit.
		m.Tokens, _ = strconv.Atoi(found[len(found)-1][1])
	}
	return m
}

// Hash returns eight hexadecimal digits that depend on text.
func Hash(text string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text)))
}

// Token is one piece of output of the engine stand-in.
type Token struct {
	ID         string // The request that it answers.
	Generation string // The attempt that produced it.
	Index      int
}

// String returns the token as it is sent, with a space at its end.
func (t Token) String() string {
	return t.ID + "-" + t.Generation + "-" + strconv.Itoa(t.Index) + " "
}

// ParseTokens reads a text of whole tokens.
func ParseTokens(text string) ([]Token, error) {
	var tokens []Token
	for _, word := range strings.Fields(text) {
		t, err := parseToken(word)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
	}
	return tokens, nil
}

func parseToken(word string) (Token, error) {
	parts := strings.Split(word, "-")
	if len(parts) != 3 {
		return Token{}, errors.Wrapf(ErrToken, "%q", word)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 {
		return Token{}, errors.Wrapf(ErrToken, "%q", word)
	}
	return Token{ID: parts[0], Generation: parts[1], Index: index}, nil
}
