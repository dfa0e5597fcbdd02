package tables

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// digestPrefix starts the text of each key digest and names its algorithm.
const digestPrefix = "sha256:"

// ParseDigest reads a key digest of the form "sha256:<64 hex digits>".
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

// FormatDigest is the inverse of ParseDigest.
func FormatDigest(digest [32]byte) string { return digestPrefix + hex.EncodeToString(digest[:]) }

func digestField(key string, target *[32]byte) inifile.Field {
	const form = "sha256:<64 hexadecimal digits>, from 'lacewingwheel tables key'"
	return inifile.Custom(key, inifile.Rule{Syntax: form},
		func(text string) *inifile.Problem {
			name := strings.TrimPrefix(key, keyPrefixText)
			if problem := CheckName(name); problem != nil {
				return problem
			}
			digest, err := ParseDigest(text)
			if err != nil {
				// The text is left out: it may be a key written by mistake.
				return &inifile.Problem{Description: "the value is not a key digest", Remedy: "write " + form}
			}
			*target = digest
			return nil
		},
		func() string { return FormatDigest(*target) },
		func() { *target = [32]byte{} },
	)
}
