package tables

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

var testDigest = FormatDigest(HashKey("one"))

const validRoutes = `[route chat]
path = /v1/chat/completions
pool = demo
organisations = circle

[route booking]
host = booking.example
path = /booking/
pool = booking
repeatable = false
deadline = 20s
`

var validPools = `[quota]
shares = 8

[pool demo]
targets = app=engine, zone=a
model = demo
default_tokens = 500

[pool booking]
kind = service
targets = app=booking

[organisation circle]
rate = 1000.5
burst = 10000
key.first = ` + testDigest + `
`

func parseTables(routes, pools string) (*Tables, error) {
	return Parse(Source{Routes: []byte(routes), Pools: []byte(pools)})
}

// Tables with a mistake must be refused, or all instances start to use them.
// Each case makes one mistake in valid tables.
func TestParseReportsEveryMistake(t *testing.T) {
	addRoute := func(lines string) [2]string { return [2]string{validRoutes + "[route x]\n" + lines, validPools} }
	addPools := func(lines string) [2]string { return [2]string{validRoutes, validPools + lines} }
	edit := func(old, new string) [2]string {
		return [2]string{strings.Replace(validRoutes, old, new, 1), strings.Replace(validPools, old, new, 1)}
	}
	tests := []struct {
		name string
		text [2]string
		want string
	}{
		{"route name", addRoute("path=/x\npool=demo\n[route a b]\npath=/y\npool=demo"), `routes.ini:15: [route a b] "a b" is not a name`},
		{"unknown pool", addRoute("path=/x\npool=dem"), `routes.ini:14: [route x] pool: pool "dem" is not in pools.ini; add a section [pool dem], or write "demo", the nearest known name`},
		{"unknown organisation", edit("organisations = circle", "organisations = circel"), `routes.ini:4: [route chat] organisations: organisation "circel" is not in pools.ini; add a section [organisation circel], or write "circle"`},
		{"no pool", addRoute("path=/x"), "routes.ini:12: [route x] pool: the key is missing"},
		{"relative path", addRoute("path=x\npool=demo"), `routes.ini:13: [route x] path: "x" is not a path`},
		{"query in path", addRoute("path=/x?y\npool=demo"), `"/x?y" is not a path`},
		{"path not in shortest form", addRoute("path=/x//y/../z/\npool=demo"), "write /x/z/"},
		{"host with port", edit("booking.example", "booking.example:80"), `"booking.example:80" is not a host name`},
		{"deadline without unit", edit("20s", "20"), `"20" is not a duration`},
		{"objective after deadline", addRoute("path=/x\npool=demo\ndeadline=1s\nobjective_first_token=2s"), "the objective is longer than the deadline of 1s"},
		{"no error budget", addRoute("path=/x\npool=demo\nobjective_good=1"), "1 is out of range"},
		{"weight 0 beside another route", addRoute("path=/v1/chat/completions\npool=demo\norganisations=circle\nweight=0"), "routes.ini:16: [route x] weight: the route never matches"},
		{"weight 0 without other route", addRoute("path=/x\npool=demo\nweight=0"), "weight 0 does not take a route out of service"},
		{"equal routes, repeatable differs", addRoute("host=BOOKING.example\npath=/booking/\npool=booking"), "[route x] repeatable: the value differs from route booking at routes.ini:6"},
		{"equal routes, access differs", addRoute("path=/v1/chat/completions\npool=demo\naccess=open"), "[route x] access: the value differs from route chat"},
		{"open route, not repeatable", addRoute("path=/x\npool=booking\naccess=open\nrepeatable=false"), "routes.ini:16: [route x] repeatable: an open route cannot be non-repeatable"},
		{"open route with organisations", addRoute("path=/x\npool=booking\naccess=open\norganisations=circle"), "the list has no effect"},
		{"engine pool without model", addPools("[pool x]\ntargets=a=b"), "[pool x] model: an engine pool needs a model"},
		{"model of a service pool", edit("kind = service", "kind = service\nmodel = demo"), "[pool booking] model: the key has no effect on a pool of services"},
		{"selector without value", edit("app=booking", "app"), `"app" is not a label=value pair`},
		{"selector label twice", edit("zone=a", "app=x"), `label "app" appears twice`},
		{"quota shares out of range", edit("shares = 8", "shares = 0"), "pools.ini:2: [quota] shares: 0 is out of range; write a whole number from 1 to 1024"},
		{"retry budget out of range", edit("kind = service", "kind = service\nretry_budget = 1.2"), "retry_budget: 1.2 is out of range"},
		{"no rate", edit("rate = 1000.5\n", ""), "[organisation circle] rate: the key is missing"},
		{"burst below one request", edit("burst = 10000", "burst = 499"), "pools.ini:15: [organisation circle] burst: one request to pool demo reserves 500 tokens, more than the burst; raise burst to at least 500, or lower default_tokens at pools.ini:7"},
		{"digest twice", addPools("key.second = " + testDigest), "pools.ini:17: [organisation circle] key.second: the digest is already used by key first of organisation circle at pools.ini:16"},
		{"digest without its prefix", addPools("[organisation b]\nrate=1\nburst=1000\nkey.a = " + strings.ToUpper(testDigest[7:])), "not a key digest"},
		{"digest across organisations", addPools("[organisation b]\nrate=1\nburst=1000\nkey.a = " + testDigest), "[organisation b] key.a: the digest is already used by key first of organisation circle"},
		{"empty key name", addPools("key. = " + testDigest), `[organisation circle] key.: "" is not a name`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parseTables(tt.text[0], tt.text[1])
			assert.ErrorContains(t, err, tt.want)
			var iniError *inifile.Error
			assert.Assert(t, errors.As(err, &iniError))
			for _, issue := range iniError.Issues {
				assert.Assert(t, issue.Line > 0 && issue.Remedy != "", "%v", issue)
			}
		})
	}
}

// BenchmarkParseAtDesignScale parses tables with 320 organisations, 320 routes
// and 32 pools.
func BenchmarkParseAtDesignScale(b *testing.B) {
	var routes, pools strings.Builder
	for i := range 32 {
		fmt.Fprintf(&pools, "[pool p%d]\ntargets = app=p%d\nmodel = m%d\n", i, i, i)
	}
	for i := range 320 {
		fmt.Fprintf(&pools, "[organisation o%d]\nrate = 1000\nburst = 100000\nkey.a = %s\n", i, FormatDigest(HashKey(fmt.Sprint(i))))
		fmt.Fprintf(&routes, "[route r%d]\npath = /v1/chat/completions\nmodel = m%d\npool = p%d\n", i, i, i%32)
	}
	for b.Loop() {
		_, err := parseTables(routes.String(), pools.String())
		assert.NilError(b, err)
	}
}

// An operator may paste an API key in place of its digest. The error must not
// quote the value, or the key gets into logs.
func TestErrorsDoNotContainKeys(t *testing.T) {
	_, err := parseTables(validRoutes, validPools+"key.second = lw-secret")
	assert.ErrorContains(t, err, "not a key digest")
	assert.Assert(t, !strings.Contains(err.Error(), "secret"))
}

// A rendered table must have the meaning of its source, and rendering it again
// must not change its text.
func TestRenderRoundTrip(t *testing.T) {
	parsed, err := parseTables(validRoutes, validPools)
	assert.NilError(t, err)
	text := Render(parsed)
	reparsed, err := Parse(text)
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(parsed, reparsed)), 0)
	assert.Equal(t, string(Render(reparsed).Pools), string(text.Pools))
	assert.Equal(t, string(text.Routes), validRoutes)
}

// Diff must show every edit, or an operator puts edits that 'tables diff' hid.
func TestDiff(t *testing.T) {
	before, err := parseTables(validRoutes, validPools)
	assert.NilError(t, err)
	routes := "[route new]\npath = /new\npool = booking\n\n[route booking]\npath = /booking/\npool = booking\n\n[route chat]\npath = /v1/chat/completions\npool = demo\ndeadline = 60s\norganisations = circle\n"
	pools := strings.NewReplacer("[quota]\nshares = 8\n", "", "zone=a", "zone=b", "key.first", "key.next").Replace(validPools) + "[organisation b]\nrate = 1\nburst = 1000\n"
	after, err := parseTables(routes, pools)
	assert.NilError(t, err)
	assert.Equal(t, FormatDiff(Diff(before, after)), `  [route booking]
~   moved from position 2 to position 1
  [route chat]
~   moved from position 1 to position 2
+ [route new]
+   path = /new
+   pool = booking
  [route booking]
-   host = booking.example
~   repeatable = false -> true
~   deadline = 20s -> 1m
  [quota]
~   shares = 8 -> 16
  [pool demo]
~   targets = app=engine, zone=a -> app=engine, zone=b
+ [organisation b]
+   rate = 1
+   burst = 1000
  [organisation circle]
+   key.next = `+testDigest+`
-   key.first = `+testDigest+`
`)
}

// A check of one table must not report references to the other, which was not
// given. It must report an empty routes table, with which every request is
// refused.
func TestCheckOfOneTable(t *testing.T) {
	check := func(src Source) error {
		var report inifile.Report
		Check(src, &report)
		return report.Err()
	}
	assert.NilError(t, check(Source{Routes: []byte(validRoutes)}))
	assert.NilError(t, check(Source{Pools: []byte(validPools + "[organisation b]\nrate = 1\nburst = 1\n")}))
	assert.ErrorContains(t, check(Source{Routes: []byte(""), RoutesName: "r"}), "r: the table has no route")
}

// No text may make the parser panic, or have another meaning after it is
// rendered and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(validRoutes, validPools)
	f.Add("[route a", "[pool]\nx")
	f.Add("\xff\xfe[route a]\x00", "\ufeff[DEFAULT]\na=%(a)s\n[organisation a.b]\nkey.=`")
	f.Add("[route a]\n-=1\n\"\"\"=x\n a = \\\n", "[pool a]\ntargets==,=\n[quota]\nshares=99999999999999999999")
	f.Fuzz(func(t *testing.T, routes, pools string) {
		parsed, err := parseTables(routes, pools)
		if err != nil {
			_ = err.Error()
			return
		}
		reparsed, err := Parse(Render(parsed))
		assert.NilError(t, err)
		assert.Equal(t, FormatDiff(Diff(parsed, reparsed)), "")
	})
}

// Operators must find every key that they can set in docs/configuration.md.
func TestKeysAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	org := Organisation{Keys: []APIKey{{Name: "NAME"}}}
	for _, fields := range [][]inifile.Field{routeFields(&Route{}), poolFields(&Pool{}), organisationFields(&org), quotaFields(&QuotaSettings{})} {
		for _, field := range fields {
			assert.Assert(t, strings.Contains(string(page), "\n| `"+field.Key+"` |"), "docs/configuration.md lacks key %s", field.Key)
		}
	}
}
