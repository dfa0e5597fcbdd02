package tables

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// digestPrefix names the hash algorithm at the start of a key digest's text.
const digestPrefix = "sha256:"

// ParseDigest parses a key digest in the syntax "sha256:<64 hex digits>".
func ParseDigest(text string) ([32]byte, error) {
	var digest [32]byte
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok {
		return digest, fmt.Errorf("a digest starts with %q; make one with 'lacewingwheel tables key'", digestPrefix)
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(digest) {
		return digest, errors.New("a digest has 64 hexadecimal digits; make one with 'lacewingwheel tables key'")
	}
	copy(digest[:], raw)
	return digest, nil
}

// FormatDigest returns the text of a key digest. ParseDigest is the inverse.
func FormatDigest(digest [32]byte) string { return digestPrefix + hex.EncodeToString(digest[:]) }

// digestField returns the field for an API key, whose key is "key.NAME".
func digestField(key string, variable *[32]byte) inifile.Field {
	const syntax = "sha256:<64 hexadecimal digits>, from 'lacewingwheel tables key'"
	return inifile.Custom(key, inifile.Rule{Syntax: syntax},
		func(text string) *inifile.Problem {
			name := strings.TrimPrefix(key, apiKeyPrefix)
			if problem := CheckName(name); problem != nil {
				return problem
			}
			digest, err := ParseDigest(text)
			if err != nil {
				// The issue omits the text, which may be a key pasted by mistake.
				return &inifile.Problem{Description: "the value is not a key digest", Remedy: "write " + syntax}
			}
			*variable = digest
			return nil
		},
		func() string { return FormatDigest(*variable) },
		func() { *variable = [32]byte{} },
	)
}
