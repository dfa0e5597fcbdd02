// Package replay generates request traces and replays them in one process to
// compare policies that select targets. It runs the packages that the daemon uses
// for admission and target selection, on a simulated clock. Engines are modelled
// only as far as those decisions depend on them; the package does not simulate a
// cluster.
package replay

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"
	_ "time/tzdata" // generated traces must not depend on the machine's time zone data

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// TraceFormat identifies the trace file format: JSON lines, of which the first is a
// TraceHeader and each other a TraceRecord, ordered by at_ms.
const TraceFormat = "lacewingwheel-trace/1"

// TraceHeader is the first line of a trace.
type TraceHeader struct {
	Format        string         `json:"format"`
	Shape         string         `json:"shape"`
	Seed          uint64         `json:"seed"`
	Organisations []Organisation `json:"organisations"`
}

// Organisation is a caller organisation with its rate limit.
type Organisation struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // prompt and output tokens per second
	Burst float64 `json:"burst"` // tokens
}

// TraceRecord is a request, or the restart of an engine if DownMS is greater than 0.
type TraceRecord struct {
	AtMS         int64         `json:"at_ms"` // Unix time in milliseconds
	Organisation string        `json:"organisation,omitempty"`
	Router       int           `json:"router,omitempty"`      // number of the router instance that receives the request
	PrefixLevels []PrefixLevel `json:"levels,omitempty"`      // shared prefixes, outermost first
	TailTokens   int           `json:"tail_tokens,omitempty"` // prompt tokens after the shared prefixes
	OutputTokens int           `json:"output_tokens,omitempty"`
	Engine       int           `json:"engine,omitempty"`  // number of the engine that restarts
	DownMS       int64         `json:"down_ms,omitempty"` // downtime in milliseconds, after which the engine is up with an empty cache
}

// PrefixLevel is one of the nested prefixes that requests share, such as a system
// prompt or a document. Two levels with the same ID and the same outer levels start
// with the same pieces.
type PrefixLevel struct {
	ID     uint64 `json:"id"`
	Pieces int    `json:"pieces"`
}

// Trace holds a trace in memory. Its records are ordered by AtMS.
type Trace struct {
	TraceHeader
	Records []TraceRecord
}

// pieceDigests returns the digest of each piece of the shared prefixes. A digest covers
// all pieces before it and the organisation.
func (r *TraceRecord) pieceDigests() []uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Organisation)
	var out []uint64
	for _, level := range r.PrefixLevels {
		for piece := range level.Pieces {
			var buf [16]byte
			binary.LittleEndian.PutUint64(buf[:8], level.ID)
			binary.LittleEndian.PutUint64(buf[8:], uint64(piece))
			_, _ = d.Write(buf[:])
			out = append(out, d.Sum64())
		}
	}
	return out
}

func (r *TraceRecord) promptTokens() int {
	tokens := r.TailTokens
	for _, level := range r.PrefixLevels {
		tokens += level.Pieces * pieceTokens
	}
	return tokens
}

// Deployment describes the size and load of a deployment.
type Deployment struct {
	Name     string
	Engines  int
	Zones    int
	ZoneCost time.Duration // extra delay of a target in another zone, one way
	PeakRate float64       // requests per second at the daily peak, without the burst of burstingOrganisation
}

// Deployments holds the deployments of the design page by name.
var Deployments = map[string]Deployment{
	"coop":     {Name: "coop", Engines: 18, Zones: 4, ZoneCost: 500 * time.Microsecond, PeakRate: 72},
	"pumpvakt": {Name: "pumpvakt", Engines: 12, Zones: 3, ZoneCost: 900 * time.Microsecond, PeakRate: 48},
}

const (
	// RouterCount is the number of router instances in a replay.
	RouterCount = 8
	pieceTokens = 1000

	documentsPerOrganisation = 60
	burstingOrganisation     = 1 // index; sends burstFactor times its share in the middle third of each window
	burstFactor              = 4
	peakHour                 = 19 // local time
	timeZone                 = "Europe/Stockholm"
	windowSeconds            = 180
)

// organisationShares holds each organisation's fraction of the requests.
var organisationShares = [...]float64{0.4, 0.12, 0.28, 0.12, 0.08}

// tokensPerRequest is the mean number of prompt and output tokens of a request. The
// rates of the organisations are computed from it.
const tokensPerRequest = 12_000

// GenerateTrace generates a trace for the days before and after the switch to
// daylight saving time. Equal seeds give equal traces. Each day has one window at
// each of four hours (UTC) around the daily peak. The peak and the popular documents
// follow local time and so move by one window on the second day.
func GenerateTrace(deployment Deployment, seed uint64) *Trace {
	g := &generator{deployment: deployment, rng: rand.New(rand.NewPCG(seed, 1))}
	location, err := time.LoadLocation(timeZone)
	if err != nil {
		panic("replay: " + timeZone + " is not in the embedded time zones: " + err.Error())
	}
	g.location = location
	g.trace.TraceHeader = TraceHeader{Format: TraceFormat, Shape: deployment.Name, Seed: seed}
	for i, share := range organisationShares {
		rate := share * deployment.PeakRate * tokensPerRequest * 1.2 // headroom for random variation
		g.trace.Organisations = append(g.trace.Organisations, Organisation{
			Name: fmt.Sprint("organisation-", i), Rate: rate, Burst: 10 * rate,
		})
	}
	for day := 28; day <= 29; day++ { // clocks change on 29 March 2026
		for hour := 15; hour <= 18; hour++ {
			g.generateWindow(time.Date(2026, 3, day, hour, 0, 0, 0, time.UTC))
		}
	}
	sort.SliceStable(g.trace.Records, func(i, j int) bool { return g.trace.Records[i].AtMS < g.trace.Records[j].AtMS })
	return &g.trace
}

// generator holds the state of GenerateTrace.
type generator struct {
	deployment Deployment
	rng        *rand.Rand
	location   *time.Location
	trace      Trace
}

// generateWindow generates the sessions that start in one window, and one restart of an
// engine.
func (g *generator) generateWindow(start time.Time) {
	localHour := start.In(g.location).Hour()
	distance := float64(localHour-peakHour) / 1.5
	relativeLoad := 0.25 + 0.75*math.Exp(-distance*distance)
	for org, share := range organisationShares {
		rate := g.deployment.PeakRate * relativeLoad * share / meanTurns // sessions per second
		for at := g.nextGap(rate); at < windowSeconds; at += g.nextGap(rate) {
			g.generateSession(start, at, org, localHour)
		}
		if org != burstingOrganisation {
			continue
		}
		excess := rate * (burstFactor - 1)
		for at := windowSeconds/3 + g.nextGap(excess); at < 2*windowSeconds/3; at += g.nextGap(excess) {
			g.generateSession(start, at, org, localHour)
		}
	}
	g.trace.Records = append(g.trace.Records, TraceRecord{
		AtMS: start.UnixMilli() + g.rng.Int64N(windowSeconds*1000), Engine: g.rng.IntN(g.deployment.Engines), DownMS: 5000,
	})
}

// nextGap returns a random time in seconds to the next of events at a mean rate per
// second, exponentially distributed.
func (g *generator) nextGap(rate float64) float64 { return g.rng.ExpFloat64() / rate }

const (
	meanTurns   = 3.0
	meanTurnGap = 4.0 // seconds between the turns of a session
)

// generateSession generates the turns of a conversation about one document. It starts at
// seconds after start; org is the index of the organisation.
func (g *generator) generateSession(start time.Time, at float64, org, localHour int) {
	document := g.drawDocument(org, localHour)
	documentRNG := rand.New(rand.NewPCG(document, 2))
	system := PrefixLevel{ID: uint64(org), Pieces: 2 + org%3}
	// Each kind of task has an instruction between the system prompt and the document.
	task := PrefixLevel{ID: 1000 + document%4, Pieces: 1 + int(document%2)}
	text := PrefixLevel{ID: document, Pieces: 2 + documentRNG.IntN(8)}
	session := PrefixLevel{ID: g.rng.Uint64()}
	history := 0
	for {
		tail := 100 + g.rng.IntN(800)
		output := 50 + g.rng.IntN(250)
		session.Pieces = history / pieceTokens
		levels := []PrefixLevel{system, task, text}
		if session.Pieces > 0 {
			levels = append(levels, session)
		}
		g.trace.Records = append(g.trace.Records, TraceRecord{
			AtMS:         start.UnixMilli() + int64(at*1000),
			Organisation: g.trace.Organisations[org].Name, Router: g.rng.IntN(RouterCount),
			PrefixLevels: levels, TailTokens: history%pieceTokens + tail, OutputTokens: output,
		})
		if g.rng.Float64() < 1/meanTurns {
			return
		}
		history += tail + output
		at += 1 + g.nextGap(1/(meanTurnGap-1))
	}
}

// drawDocument draws a document of the organisation by Zipf's law. The popularity
// ranking depends on the local hour, so the popular documents move with daylight
// saving time.
func (g *generator) drawDocument(org, localHour int) uint64 {
	rank := rand.NewZipf(g.rng, 1.1, 1, documentsPerOrganisation-1).Uint64()
	order := rand.New(rand.NewPCG(uint64(org), uint64(localHour))).Perm(documentsPerOrganisation)
	return uint64(org)<<32 | uint64(order[rank]+1)<<8
}

// Write writes the trace in TraceFormat.
func (t *Trace) Write(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.TraceHeader); err != nil {
		return err
	}
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// ReadTrace reads and checks a trace in TraceFormat. Errors name the line.
func ReadTrace(r io.Reader) (*Trace, error) {
	decoder := json.NewDecoder(r)
	t := &Trace{}
	if err := decoder.Decode(&t.TraceHeader); err != nil {
		return nil, eris.Wrap(err, "trace header")
	}
	if t.Format != TraceFormat {
		return nil, fmt.Errorf("trace header: format is %q, want %q; write the trace again with this version", t.Format, TraceFormat)
	}
	if _, ok := Deployments[t.Shape]; !ok {
		return nil, fmt.Errorf("trace header: shape %q is unknown", t.Shape)
	}
	knownOrganisations := make(map[string]bool)
	for _, org := range t.Organisations {
		knownOrganisations[org.Name] = true
	}
	for line := 2; ; line++ {
		var record TraceRecord
		err := decoder.Decode(&record)
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "trace line %d", line)
		}
		isRestart := record.DownMS > 0
		switch {
		case !isRestart && !knownOrganisations[record.Organisation]:
			return nil, fmt.Errorf("trace line %d: organisation %q is not in the header", line, record.Organisation)
		case record.Router < 0 || record.Router >= RouterCount || record.Engine < 0 || record.Engine >= Deployments[t.Shape].Engines:
			return nil, fmt.Errorf("trace line %d: router or engine out of range", line)
		case len(t.Records) > 0 && record.AtMS < t.Records[len(t.Records)-1].AtMS:
			return nil, fmt.Errorf("trace line %d: at_ms is before that of the previous record", line)
		}
		t.Records = append(t.Records, record)
	}
}
