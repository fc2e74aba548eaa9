// Package partitioner splits a manifest into content-addressed parts of a few
// kilobytes, so that a small change of a large manifest is stored and sent as a
// small part.
//
// The hash of a section's title selects its part. Manifests with the same
// sections have the same parts, whatever the order of their sections.
package partitioner

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"monsoonspar.example/state/parser"
)

const (
	// partBytes bounds the mean size of a part. To apply a change of one section, a
	// reader fetches one part and the list of all digests; about 4 KiB minimizes the
	// sum of the two for a manifest of some hundred kilobytes.
	partBytes = 4 << 10
	// MaxParts bounds the number of parts of a manifest.
	MaxParts = 1 << 11
	// MaxPartBytes bounds the size of a part.
	MaxPartBytes = 512 << 10
)

// Errors for parts that cannot be assembled.
var (
	ErrDigest = errors.New("digest does not match the content")
	ErrSize   = errors.New("too many or too large parts")
)

// Digest identifies content. It is the first 16 bytes of its SHA-256 hash.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses a digest in hexadecimal.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != hex.EncodedLen(len(d)) {
		return d, errors.Errorf("a digest must have %d digits, got %d", hex.EncodedLen(len(d)), len(s))
	}
	_, err := hex.Decode(d[:], []byte(s))
	return d, errors.WithStack(err)
}

// Sum returns the digest of text.
func Sum(text string) Digest {
	sum := sha256.Sum256([]byte(text))
	return Digest(sum[:len(Digest{})])
}

// Root returns the digest of a manifest with the given parts.
func Root(parts []Digest) Digest {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(parts))))
	for _, p := range parts {
		h.Write(p[:])
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// Part holds some of the sections of a manifest, sorted by title.
type Part struct {
	Digest Digest
	Text   string
}

// Snapshot is a complete manifest in parts. The zero value has no parts and
// represents the absence of a manifest.
type Snapshot struct {
	Root  Digest
	Parts []Part
}

// Split distributes sections over parts.
func Split(sections []parser.Section) (Snapshot, error) {
	sorted := slices.SortedFunc(slices.Values(sections), func(a, b parser.Section) int {
		return cmp.Compare(a.Title, b.Title)
	})
	totalBytes := 0
	for _, s := range sorted {
		totalBytes += len(s.Text)
	}
	texts := make([]strings.Builder, partCount(totalBytes))
	for _, s := range sorted {
		texts[xxhash.Sum64String(s.Title)%uint64(len(texts))].WriteString(s.Text)
	}
	parts := make([]Part, len(texts))
	for i := range texts {
		text := texts[i].String()
		parts[i] = Part{Digest: Sum(text), Text: text}
	}
	return Assemble(parts)
}

// partCount returns the number of parts for a manifest of the given size. It is a
// power of two, so that it changes rarely.
func partCount(bytes int) int {
	n := 1
	for n < MaxParts && bytes/n > partBytes {
		n *= 2
	}
	return n
}

// Assemble checks the digests and sizes of parts and combines them into a
// Snapshot.
func Assemble(parts []Part) (Snapshot, error) {
	if len(parts) > MaxParts {
		return Snapshot{}, errors.WithStack(ErrSize)
	}
	digests := make([]Digest, len(parts))
	for i, p := range parts {
		if len(p.Text) > MaxPartBytes {
			return Snapshot{}, errors.WithStack(ErrSize)
		}
		if Sum(p.Text) != p.Digest {
			return Snapshot{}, errors.WithStack(ErrDigest)
		}
		digests[i] = p.Digest
	}
	return Snapshot{Root: Root(digests), Parts: parts}, nil
}

// IsZero reports whether s represents the absence of a manifest.
func (s Snapshot) IsZero() bool { return len(s.Parts) == 0 }

// Digests returns the digests of the parts.
func (s Snapshot) Digests() []Digest {
	digests := make([]Digest, len(s.Parts))
	for i, p := range s.Parts {
		digests[i] = p.Digest
	}
	return digests
}

// Text returns the manifest as INI text.
func (s Snapshot) Text() []byte {
	var b strings.Builder
	for _, p := range s.Parts {
		b.WriteString(p.Text)
	}
	return []byte(b.String())
}

// Sections returns the sections, sorted by title.
func (s Snapshot) Sections() []parser.Section {
	var sections []parser.Section
	for _, p := range s.Parts {
		sections = append(sections, splitSections(p.Text)...)
	}
	slices.SortFunc(sections, func(a, b parser.Section) int { return cmp.Compare(a.Title, b.Title) })
	return sections
}

// splitSections splits canonical text before each line that starts with a bracket.
func splitSections(text string) []parser.Section {
	var sections []parser.Section
	for text != "" {
		end := len(text)
		if i := strings.Index(text, "\n["); i >= 0 {
			end = i + 1
		}
		title, _, _ := strings.Cut(strings.TrimPrefix(text[:end], "["), "]")
		sections = append(sections, parser.Section{Title: title, Text: text[:end]})
		text = text[end:]
	}
	return sections
}
