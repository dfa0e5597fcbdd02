// Package prefix cuts prompts into the pieces that engines cache, identifies
// each piece by a chained digest, and remembers which target holds which piece.
// It does no I/O; the caller passes the time in.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Salt names everything that must be equal for a cached piece to be usable.
type Salt struct {
	Organisation  string
	Model         string
	Adapter       string
	WeightVersion string
}

// PieceBytes returns the bytes of one piece, at least 1. It must be computed
// from the pool table alone: with a ratio corrected by own observations each
// instance would cut, and so place, the same prompt differently.
func PieceBytes(pieceTokens int, bytesPerToken float64) int {
	return max(1, int(float64(pieceTokens)*bytesPerToken))
}

// AppendDigests appends the digest of each whole piece of the prompt to dst. A digest
// covers the salt and everything up to the end of its piece. The incomplete
// last piece has no digest, because engines do not share it.
func AppendDigests(dst []uint64, salt Salt, prompt []byte, pieceBytes int) []uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{salt.Organisation, salt.Model, salt.Adapter, salt.WeightVersion} {
		// The length keeps ("ab", "c") and ("a", "bc") apart.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(field)
	}
	for ; len(prompt) >= pieceBytes; prompt = prompt[pieceBytes:] {
		_, _ = d.Write(prompt[:pieceBytes])
		dst = append(dst, d.Sum64())
	}
	return dst
}
