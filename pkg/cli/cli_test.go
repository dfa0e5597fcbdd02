package cli

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/standin"
	"lacewingwheel.example/lacewingwheel/pkg/tables"
)

// runCommand runs a command and returns its exit code and its combined output.
func runCommand(args ...string) (int, string) {
	var out bytes.Buffer
	code := Main(args, &out, &out)
	return code, out.String()
}

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a check that stops at the first mistake, so that an operator has to
// run it again for each: one run must report all mistakes in all files.
func TestCheckReportsAllMistakes(t *testing.T) {
	dir := t.TempDir()
	settings := writeFile(t, dir, "settings.ini", `[instance]
id = r1
caller_listen = localhost:80
operator_listen = 127.0.0.1:81
[platform]
adress = http://127.0.0.1:7000
[tls]
caller_cert = a.pem
peer_ca = ca.pem
[server]
drain_timeout = 5
`)
	routes := writeFile(t, dir, "routes.ini", `[route a]
path = chat
pool = dmeo
repeatable = maybe
[route b]
path = /b
pool = demo
weight = 0
access = everybody
[route b]
[rout c]
rubbish
`)
	pools := writeFile(t, dir, "pools.ini", `[pool demo]
targets = app=engine
queue_limit = 10s
queue_limit = 10
[organisation x]
rate = 10
burst = 1
key.a = lw-secret
`)
	code, out := runCommand("check", "--settings", settings, "--routes", routes, "--pools", pools)
	assert.Equal(t, code, ExitInvalid)
	for _, want := range []string{
		"settings.ini:1: [instance] zone: the key is missing",
		`settings.ini:3: [instance] caller_listen: "localhost:80" is not ip:port`,
		"settings.ini:5: [platform] address: the key is missing",
		`settings.ini:6: [platform] adress: unknown key; the nearest known key is "address"`,
		"settings.ini:8: [tls] caller_cert: caller_key is missing",
		"settings.ini:9: [tls] peer_ca: peer_cert is missing",
		`settings.ini:11: [server] drain_timeout: "5" is not a duration with a unit`,
		`routes.ini:2: [route a] path: "chat" is not a path`,
		`routes.ini:3: [route a] pool: pool "dmeo" is not in`,
		`routes.ini:4: [route a] repeatable: "maybe" is not true or false`,
		"routes.ini:8: [route b] weight: weight 0 does not take a route out of service",
		`routes.ini:9: [route b] access: "everybody" is not a known value`,
		"routes.ini:10: [route b] the section appears twice",
		"routes.ini:11: [rout c] unknown section; the nearest known section is [route NAME]",
		"routes.ini:12: [rout c] neither a section header nor key = value",
		"pools.ini:1: [pool demo] model: an engine pool needs a model",
		`pools.ini:3: [pool demo] queue_limit: "10s" is not a whole number`,
		"pools.ini:4: [pool demo] queue_limit: the key appears twice",
		"pools.ini:7: [organisation x] burst: one request to pool demo reserves 1024 tokens",
		"pools.ini:8: [organisation x] key.a: the value is not a key digest",
	} {
		assert.Assert(t, strings.Contains(out, want), "not reported: %s\noutput:\n%s", want, out)
	}
}

// Guards against shipped example files that fail the check when an operator copies
// them, alone or together.
func TestExamplesPassCheck(t *testing.T) {
	for _, deployment := range []string{"coop", "pumpvakt"} {
		dir := filepath.Join("../../examples", deployment)
		files := []string{"--settings", filepath.Join(dir, "lacewingwheel.ini"), "--routes", filepath.Join(dir, "routes.ini"), "--pools", filepath.Join(dir, "pools.ini")}
		for _, args := range [][]string{files, files[:2], files[2:4], files[4:]} {
			code, out := runCommand(append([]string{"check"}, args...)...)
			assert.Equal(t, code, ExitOK, out)
		}
	}
}

// Guards against changed exit codes of the tables commands, which operators' scripts
// rely on: 0 done, 2 invalid, 3 conflict with another edit, 4 platform unavailable.
func TestTablesExitCodes(t *testing.T) {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	annaDir, beaDir := t.TempDir(), t.TempDir()
	runTables := func(want int, text string, args ...string) string {
		t.Helper()
		if args[1] != "key" {
			args = append(args, "--platform", server.URL)
		}
		code, out := runCommand(args...)
		assert.Equal(t, code, want, out)
		assert.Assert(t, strings.Contains(out, text), out)
		return out
	}
	runTables(ExitOK, "no configuration is accepted yet", "tables", "get", "--dir", annaDir)
	runTables(ExitInvalid, "the table has no route", "tables", "put", "--dir", annaDir, "--editor", "anna")
	for _, name := range []string{tables.RoutesFile, tables.PoolsFile} {
		text, err := os.ReadFile(filepath.Join("../../examples/coop", name))
		assert.NilError(t, err)
		writeFile(t, annaDir, name, string(text))
	}
	runTables(ExitOK, "+ [route confirm]", "tables", "diff", "--dir", annaDir)
	runTables(ExitInvalid, "--editor:", "tables", "put", "--dir", annaDir, "--editor", "")
	runTables(ExitOK, "generation 1 is accepted", "tables", "put", "--dir", annaDir, "--editor", "anna")
	runTables(ExitOK, "no difference from generation 1", "tables", "diff", "--dir", annaDir)

	runTables(ExitOK, "generation 1 by anna", "tables", "get", "--dir", beaDir)
	runTables(ExitOK, "generation 2 is accepted", "tables", "put", "--dir", beaDir, "--editor", "bea")
	runTables(ExitConflict, "generation 2 by bea", "tables", "put", "--dir", annaDir, "--editor", "anna")
	out := runTables(ExitOK, "", "tables", "history")
	assert.Assert(t, regexp.MustCompile(`^2\t\S+\tbea\n1\t\S+\tanna\n$`).MatchString(out), out)
	runTables(ExitInvalid, "generation 9 does not exist", "tables", "get", "--dir", beaDir, "--generation", "9")
	runTables(ExitOK, "generation 1 by anna", "tables", "get", "--dir", beaDir, "--generation", "1")

	p.SetFaults(standin.PlatformFaults{Down: true})
	for _, command := range []string{"get", "put", "diff"} {
		args := []string{"tables", command, "--dir", beaDir}
		if command == "put" {
			args = append(args, "--editor", "bea")
		}
		runTables(ExitUnavailable, "try again", args...)
	}
	runTables(ExitUnavailable, "try again", "tables", "history")
}

// Guards against scripts that continue after a wrong command line or an unreadable
// file: both must exit with code 2.
func TestInvalidInvocation(t *testing.T) {
	for _, args := range [][]string{
		{"check"}, {"tables", "bogus"}, {"tables", "get"}, {"tables", "get", "--platform", "platform:7000"},
		{"tables", "key", "--name", "a b"}, {"check", "--routes", filepath.Join(t.TempDir(), "absent.ini")},
	} {
		code, out := runCommand(args...)
		assert.Equal(t, code, ExitInvalid, "%v: %s", args, out)
	}
}

// Guards against a generated key that the router rejects because the printed digest
// belongs to another key, against a key that is generated twice, and against missing
// shell completion.
func TestKeyAndCompletion(t *testing.T) {
	code, out := runCommand("tables", "key", "--name", "web")
	assert.Equal(t, code, ExitOK)
	key := regexp.MustCompile(`(?m)^lw-[0-9a-f]{48}$`).FindString(out)
	line := regexp.MustCompile(`(?m)^key\.web = (.*)$`).FindStringSubmatch(out)
	assert.Assert(t, key != "" && line != nil, out)
	assert.Equal(t, line[1], tables.FormatDigest(tables.HashKey(key)))
	_, secondOut := runCommand("tables", "key")
	assert.Assert(t, !strings.Contains(secondOut, key))

	for _, shell := range []string{"bash", "zsh", "fish"} {
		code, out = runCommand("completion", shell)
		assert.Equal(t, code, ExitOK)
		assert.Assert(t, strings.Contains(out, "lacewingwheel"))
	}
}
