// Package e2e tests the guarantees of the router with separate processes on
// loopback.
package e2e

import (
	"testing"

	"lacewingwheel.example/lacewingwheel/test/harness"
)

func TestMain(m *testing.M) { harness.BuildAndRunTests(m) }
