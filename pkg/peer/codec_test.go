package peer

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func mustEncode(t testing.TB, value any) []byte {
	t.Helper()
	data, err := encMode.Marshal(value)
	assert.NilError(t, err)
	return data
}

// A message of a faulty or newer peer must be rejected with the error kind that
// tells why, and must not reach a handler.
func TestDecodeRejectsInvalidMessages(t *testing.T) {
	nested := []any{1}
	for range maxNesting {
		nested = []any{nested}
	}
	cases := []struct {
		name string
		data []byte
		kind ErrorKind
	}{
		{"empty", nil, KindMalformed},
		{"not an array", mustEncode(t, "hello"), KindMalformed},
		{"too few elements", mustEncode(t, []any{1, "hello"}), KindMalformed},
		{"too many elements", mustEncode(t, []any{1, "hello", 1, 2}), KindMalformed},
		{"version zero", mustEncode(t, []any{0, "hello", 1}), KindMalformed},
		{"empty type", mustEncode(t, []any{1, "", 1}), KindMalformed},
		{"type too long", mustEncode(t, []any{1, strings.Repeat("x", maxTypeBytes+1), 1}), KindMalformed},
		{"newer version", mustEncode(t, []any{Version + 1, "hello", 1}), KindUnsupportedVersion},
		{"newer version with other elements", mustEncode(t, []any{Version + 1, 2, 3, 4, 5}), KindUnsupportedVersion},
		{"trailing bytes", append(mustEncode(t, []any{1, "hello", 1}), 0), KindMalformed},
		{"indefinite length", []byte{0x9f, 0x01, 0x61, 'a', 0x01, 0xff}, KindMalformed},
		{"tag", []byte{0x83, 0x01, 0x61, 'a', 0xc1, 0x01}, KindMalformed},
		{"nested too deeply", mustEncode(t, []any{1, "hello", nested}), KindMalformed},
		{"array header with a huge length", []byte{0x83, 0x01, 0x61, 'a', 0x9a, 0xff, 0xff, 0xff, 0xff}, KindMalformed},
		{"over MaxMessageBytes", make([]byte, MaxMessageBytes+1), KindTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := readMessage(bytes.NewReader(c.data))
			assert.Equal(t, KindOf(err), c.kind, "%v", err)
		})
	}
}

// During a rolling upgrade an older instance receives messages with fields that it
// does not know. It must still decode the others.
func TestDecodeIgnoresUnknownFields(t *testing.T) {
	data, err := encode(Hello.Request, map[string]any{"id": "r1", "later": 1})
	assert.NilError(t, err)
	e, err := decode(data)
	assert.NilError(t, err)
	var body HelloBody
	assert.NilError(t, decodeBody(e, &body))
	assert.Equal(t, body.ID, "r1")
}

// No input may make the decoder panic, and a message that decodes must stay the
// same when it is encoded again.
func FuzzDecode(f *testing.F) {
	data, err := encode(Hello.Request, HelloBody{ID: "r1", Generation: 3})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0x83, 0x01, 0x61, 'a', 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decode(data)
		if err != nil {
			return
		}
		for _, body := range []any{&HelloBody{}, &ConfigOfferBody{}, &ConfigFetchResponse{}, &InstancesFetchResponse{}, &PoisonNoticeBody{}, &errorBody{}} {
			_ = decodeBody(e, body)
		}
		reencoded, err := decode(mustEncode(t, e))
		assert.NilError(t, err)
		assert.Equal(t, reencoded.Version, e.Version)
		assert.Equal(t, reencoded.Type, e.Type)
		assert.Assert(t, bytes.Equal(reencoded.Body, e.Body))
	})
}
