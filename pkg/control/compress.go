package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// compress returns data in DEFLATE format, for messages between instances.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress is the inverse of compress. It returns an error if the result is
// longer than limit bytes, because a small message can decompress to any size.
func decompress(data []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress data")
	}
	if len(out) > limit {
		return nil, fmt.Errorf("decompress data: result has more than %d bytes", limit)
	}
	return out, nil
}
