// Package e2e proves guarantees with separate processes on loopback.
package e2e

import (
	"testing"

	"lacewingwheel.example/lacewingwheel/test/harness"
)

func TestMain(m *testing.M) { harness.BuildAndRunTests(m) }
