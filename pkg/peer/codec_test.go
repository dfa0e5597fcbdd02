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

// Guards against decoding what a faulty or newer peer sends as if it were sound.
func TestDecodeRefuses(t *testing.T) {
	nested := []any{1}
	for range maxNesting {
		nested = []any{nested}
	}
	cases := []struct {
		name string
		data []byte
		kind Kind
	}{
		{"empty", nil, KindMalformed},
		{"not an array", mustEncode(t, "hello"), KindMalformed},
		{"too short", mustEncode(t, []any{1, "hello"}), KindMalformed},
		{"too long", mustEncode(t, []any{1, "hello", 1, 2}), KindMalformed},
		{"no version", mustEncode(t, []any{0, "hello", 1}), KindMalformed},
		{"no type", mustEncode(t, []any{1, "", 1}), KindMalformed},
		{"long type", mustEncode(t, []any{1, strings.Repeat("x", maxTypeBytes+1), 1}), KindMalformed},
		{"newer version", mustEncode(t, []any{Version + 1, "hello", 1}), KindUnsupportedVersion},
		{"newer version of another shape", mustEncode(t, []any{Version + 1, 2, 3, 4, 5}), KindUnsupportedVersion},
		{"trailing bytes", append(mustEncode(t, []any{1, "hello", 1}), 0), KindMalformed},
		{"indefinite length", []byte{0x9f, 0x01, 0x61, 'a', 0x01, 0xff}, KindMalformed},
		{"tag", []byte{0x83, 0x01, 0x61, 'a', 0xc1, 0x01}, KindMalformed},
		{"deep", mustEncode(t, []any{1, "hello", nested}), KindMalformed},
		{"huge array header", []byte{0x83, 0x01, 0x61, 'a', 0x9a, 0xff, 0xff, 0xff, 0xff}, KindMalformed},
		{"over the limit", make([]byte, MaxMessageBytes+1), KindTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := readMessage(bytes.NewReader(c.data))
			assert.Equal(t, KindOf(err), c.kind, "%v", err)
		})
	}
}

// Guards against a message that cannot gain a field without a new version.
func TestDecodeIgnoresNewFields(t *testing.T) {
	data, err := encode(Hello.Request, map[string]any{"id": "r1", "later": 1})
	assert.NilError(t, err)
	e, err := decode(data)
	assert.NilError(t, err)
	var body HelloBody
	assert.NilError(t, decodeBody(e, &body))
	assert.Equal(t, body.ID, "r1")
}

// Guards the decoder against input that makes it panic, and a message that
// decodes against changing when it is sent on.
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
		for _, body := range []any{&HelloBody{}, &ConfigOfferBody{}, &ConfigFetchAnswer{}, &InstancesFetchAnswer{}, &PoisonNoticeBody{}, &errorBody{}} {
			_ = decodeBody(e, body)
		}
		again, err := decode(mustEncode(t, e))
		assert.NilError(t, err)
		assert.Equal(t, again.Version, e.Version)
		assert.Equal(t, again.Type, e.Type)
		assert.Assert(t, bytes.Equal(again.Body, e.Body))
	})
}
