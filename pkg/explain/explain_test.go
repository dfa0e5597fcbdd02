package explain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/explain"
)

const edge1Log = `2026-05-04T04:19:40.000Z [INFO]  lacewingwheel: weights named: model=m weights=2 before=1 age=0s
2026-05-04T04:20:00.100Z [INFO]  lacewingwheel: configuration in force: version=7 before=5
2026-05-04T04:20:01.000Z [INFO]  lacewingwheel: attempt failed: request_id=r-1 target=i-1 attempt=1 reason="no response" may_have_run=true
2026-05-04T04:20:01.500Z [WARN]  lacewingwheel: request failed: request_id=r-1 code=target_failed status=502
2026-05-04T04:20:01.600Z [WARN]  lacewingwheel: request failed: request_id=r-2 target=i-1 code=target_failed
not a line of the log
`

const edge2Log = `2026-05-04T04:20:00.900Z [INFO]  lacewingwheel: target changed: target=i-1 leaving=true
2026-05-04T04:20:00.950Z [INFO]  lacewingwheel: target changed: target=i-2 leaving=true
2026-05-04T04:20:00.960Z [INFO]  lacewingwheel: configuration in force: version=7 before=5
2026-05-04T04:25:00.950Z [INFO]  lacewingwheel: target changed: target=i-1 leaving=true
`

// Guards against an explanation that misleads the operator about a failed request:
// it must contain what other instances logged about the request's target, no lines
// about other requests or targets, and all lines in order of time.
func TestWriteRequest(t *testing.T) {
	var logs explain.Logs
	assert.NilError(t, logs.AddLog("edge-1", strings.NewReader(edge1Log)))
	assert.NilError(t, logs.AddLog("edge-2", strings.NewReader(edge2Log)))
	var out strings.Builder
	assert.NilError(t, logs.WriteRequest(&out, "r-1"))
	var got []string
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		source, _, _ := strings.Cut(text, ":")
		_, message, _ := strings.Cut(text, "lacewingwheel: ")
		message, _, _ = strings.Cut(message, ":")
		got = append(got, source+" "+message)
	}
	assert.DeepEqual(t, got, []string{
		"edge-1 configuration in force", "edge-2 target changed", "edge-1 attempt failed", "edge-1 request failed",
	})
	assert.ErrorIs(t, logs.WriteRequest(&out, "r-3"), explain.ErrRequestNotFound)
}
