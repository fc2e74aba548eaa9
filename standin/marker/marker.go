// Package marker parses the directives that tests embed in prompts and request
// bodies, and formats and parses the tokens that the engine stand-in produces.
// Tokens identify their request, generation and position, so that a client can
// check that a response is complete, belongs to its request and comes from a
// single generation.
package marker

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrInvalidToken is returned for text that is not a token of the engine stand-in.
var ErrInvalidToken = errors.New("invalid token of the engine stand-in")

// Directives are the directives found in a text.
type Directives struct {
	ID     string // From [[id=…]]; defaults to a hash of the text.
	Tokens int    // Output length, from [[tokens=…]]; defaults to zero.
}

var (
	idPattern     = regexp.MustCompile(`\[\[id=([A-Za-z0-9_]{1,64})\]\]`)
	tokensPattern = regexp.MustCompile(`\[\[tokens=([0-9]{1,7})\]\]`)
)

// Parse returns the directives in text. The last one of each kind takes effect.
func Parse(text string) Directives {
	directives := Directives{ID: Hash(text)}
	if matches := idPattern.FindAllStringSubmatch(text, -1); matches != nil {
		directives.ID = matches[len(matches)-1][1]
	}
	if matches := tokensPattern.FindAllStringSubmatch(text, -1); matches != nil {
		// The pattern matches only numbers that fit into an int.
		directives.Tokens, _ = strconv.Atoi(matches[len(matches)-1][1])
	}
	return directives
}

// Hash returns a 32-bit hash of text in hexadecimal.
func Hash(text string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text)))
}

// Token is one output token of the engine stand-in.
type Token struct {
	ID         string // ID of the request.
	Generation string // Hash that identifies the engine process and the attempt.
	Index      int
}

// String returns the text of the token, with a trailing space.
func (t Token) String() string {
	return t.ID + "-" + t.Generation + "-" + strconv.Itoa(t.Index) + " "
}

// ParseTokens parses a sequence of complete tokens.
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
		return Token{}, errors.Wrapf(ErrInvalidToken, "%q", word)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 {
		return Token{}, errors.Wrapf(ErrInvalidToken, "%q", word)
	}
	return Token{ID: parts[0], Generation: parts[1], Index: index}, nil
}
