package engine

import (
	"bytes"
	"encoding/json"
	"io"
)

// encodeBody returns the JSON body of a request and its content type. Both are empty
// without input.
func encodeBody(in any) (io.Reader, string, error) {
	if in == nil {
		return nil, "", nil
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, "", err
	}
	return bytes.NewReader(data), "application/json", nil
}
