// Package prefix splits prompts into the pieces that engines cache, identifies
// each piece by a chained digest, and indexes which target has which piece in its
// cache. It does no I/O; the caller passes the time.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Salt holds everything besides the text that must be equal for a cached piece
// to be reused.
type Salt struct {
	Organisation  string
	Model         string
	Adapter       string
	WeightVersion string
}

// PieceBytes returns the size of one piece in bytes, at least 1. Both arguments
// must come from the pool table: if each instance corrected bytesPerToken by its
// own observations, instances would split the same prompt differently and send it
// to different targets.
func PieceBytes(pieceTokens int, bytesPerToken float64) int {
	return max(1, int(float64(pieceTokens)*bytesPerToken))
}

// AppendDigests appends the digest of each whole piece of the prompt to dst. A
// digest covers the salt and the prompt up to the end of its piece. An incomplete
// last piece gets no digest, because engines do not share it between requests.
func AppendDigests(dst []uint64, salt Salt, prompt []byte, pieceBytes int) []uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{salt.Organisation, salt.Model, salt.Adapter, salt.WeightVersion} {
		// The length distinguishes ("ab", "c") from ("a", "bc").
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
