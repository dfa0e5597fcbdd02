// Package claim ensures that a request with an idempotency key runs at most
// once, and quarantines requests that crash their targets.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Digest identifies a request or an idempotency key without its text.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestKey returns the digest of an Idempotency-Key in the scope of an
// organisation.
func DigestKey(organisation, key string) Digest {
	return digest("idempotency-key", []byte(organisation), []byte(key))
}

// DigestRequest returns the digest of the content of a request. The pieces of the body count
// as one, so that callers need not copy them.
func DigestRequest(organisation, method, path string, body ...[]byte) Digest {
	h := newFieldHash("request")
	h.writeField([]byte(organisation))
	h.writeField([]byte(method))
	h.writeField([]byte(path))
	h.writeField(body...)
	return Digest(h.Sum(nil))
}

// DigestPart returns the digest of the ID of a prompt part.
func DigestPart(id string) Digest { return digest("prompt-part", []byte(id)) }

func digest(domain string, fields ...[]byte) Digest {
	h := newFieldHash(domain)
	for _, field := range fields {
		h.writeField(field)
	}
	return Digest(h.Sum(nil))
}

// fieldHash hashes each field after its length, so that different lists of fields
// never give the same input.
type fieldHash struct{ hash.Hash }

func newFieldHash(domain string) fieldHash {
	h := fieldHash{sha256.New()}
	h.writeField([]byte(domain))
	return h
}

// writeField writes a field that consists of pieces.
func (h fieldHash) writeField(pieces ...[]byte) {
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	h.Write(size[:])
	for _, piece := range pieces {
		h.Write(piece)
	}
}

// kindCount is the number of object kinds that claims are spread over. The
// object store can only list a whole kind. With 1024 kinds, the list of one
// stays under 2 MB at 20 claims per second and DefaultRetention.
const kindCount = 1024

// kindOf returns the object kind of the claim with the given key.
func kindOf(key Digest) string {
	return kindName(int(binary.BigEndian.Uint16(key[:2])) % kindCount)
}

func kindName(n int) string { return fmt.Sprintf("claim-%03x", n) }
