package tables

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Source is the text of both tables, in INI.
type Source struct {
	Routes []byte
	Pools  []byte
}

// Parse reads both tables and checks them.
func Parse(src Source) (*Tables, error) {
	t := &Tables{Settings: PoolSettings{QuotaShares: defaultQuotaShares}}
	var errs []error
	if err := t.parseRoutes(src.Routes); err != nil {
		errs = append(errs, err)
	}
	if err := t.parsePools(src.Pools); err != nil {
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return t, t.checkReferences()
}

const (
	defaultQuotaShares   = 16
	defaultDeadline      = 60 * time.Second
	defaultPieceTokens   = 1000
	defaultBytesPerToken = 4.0
	defaultOutputTokens  = 1024
	defaultQueueLimit    = 256
	defaultTargetLimit   = 64
	defaultRetryBudget   = 0.2
	defaultLoadLimit     = 2
	defaultStallTimeout  = 10 * time.Second
	defaultGood          = 0.99
	defaultFirstToken    = 460 * time.Millisecond
	defaultWindow        = 30 * 24 * time.Hour
)

func (t *Tables) parseRoutes(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "route ")
		if !ok {
			continue
		}
		t.Routes = append(t.Routes, Route{
			Name:          name,
			Host:          section.Key("host").String(),
			Path:          section.Key("path").String(),
			Model:         section.Key("model").String(),
			Pool:          section.Key("pool").String(),
			Access:        Access(section.Key("access").MustString(string(AccessKeys))),
			Organisations: section.Key("organisations").Strings(","),
			Repeatable:    section.Key("repeatable").MustBool(true),
			Deadline:      section.Key("deadline").MustDuration(defaultDeadline),
			Priority:      section.Key("priority").MustInt(0),
			Weight:        section.Key("weight").MustInt(1),
			Objective: Objective{
				Good:       section.Key("objective_good").MustFloat64(defaultGood),
				FirstToken: section.Key("objective_first_token").MustDuration(defaultFirstToken),
				Window:     section.Key("objective_window").MustDuration(defaultWindow),
			},
		})
	}
	return nil
}

func (t *Tables) parsePools(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("pools: %w", err)
	}
	for _, section := range file.Sections() {
		if name, ok := strings.CutPrefix(section.Name(), "pool "); ok {
			t.Pools = append(t.Pools, parsePool(name, section))
		}
		if name, ok := strings.CutPrefix(section.Name(), "organisation "); ok {
			org, err := parseOrganisation(name, section)
			if err != nil {
				return err
			}
			t.Organisations = append(t.Organisations, org)
		}
		if section.Name() == "quota" {
			t.Settings.QuotaShares = section.Key("shares").MustInt(defaultQuotaShares)
		}
	}
	return nil
}

func parsePool(name string, section *ini.Section) Pool {
	return Pool{
		Name:          name,
		Kind:          PoolKind(section.Key("kind").MustString(string(PoolEngine))),
		Selector:      parseSelector(section.Key("targets").Strings(",")),
		Model:         section.Key("model").String(),
		WeightVersion: section.Key("weight_version").String(),
		Adapter:       section.Key("adapter").String(),
		PieceTokens:   section.Key("piece_tokens").MustInt(defaultPieceTokens),
		BytesPerToken: section.Key("bytes_per_token").MustFloat64(defaultBytesPerToken),
		DefaultTokens: section.Key("default_tokens").MustInt(defaultOutputTokens),
		QueueLimit:    section.Key("queue_limit").MustInt(defaultQueueLimit),
		TargetLimit:   section.Key("target_limit").MustInt(defaultTargetLimit),
		RetryBudget:   section.Key("retry_budget").MustFloat64(defaultRetryBudget),
		StallTimeout:  section.Key("stall_timeout").MustDuration(defaultStallTimeout),
		Fencing:       section.Key("fencing").MustBool(false),
		LoadLimit:     section.Key("load_limit").MustInt(defaultLoadLimit),
	}
}

func parseSelector(pairs []string) map[string]string {
	selector := make(map[string]string, len(pairs))
	for _, pair := range pairs {
		label, value, _ := strings.Cut(pair, "=")
		selector[strings.TrimSpace(label)] = strings.TrimSpace(value)
	}
	return selector
}

func parseOrganisation(name string, section *ini.Section) (Organisation, error) {
	org := Organisation{
		Name:   name,
		Rate:   section.Key("rate").MustFloat64(0),
		Burst:  section.Key("burst").MustFloat64(0),
		Weight: section.Key("weight").MustInt(1),
	}
	for _, key := range section.Keys() {
		keyName, ok := strings.CutPrefix(key.Name(), "key.")
		if !ok {
			continue
		}
		digest, err := ParseDigest(key.String())
		if err != nil {
			return org, fmt.Errorf("pools: organisation %s: key %s: %w", name, keyName, err)
		}
		org.Keys = append(org.Keys, Key{Name: keyName, Digest: digest})
	}
	return org, nil
}

// digestPrefix starts the text of each key digest and names its algorithm.
const digestPrefix = "sha256:"

// ParseDigest reads a key digest of the form "sha256:<64 hex digits>".
func ParseDigest(text string) ([32]byte, error) {
	var digest [32]byte
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok {
		return digest, fmt.Errorf("a digest starts with %q; make one with 'lacewingwheel tables key'", digestPrefix)
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(digest) {
		return digest, errors.New("a digest has 64 hexadecimal digits; make one with 'lacewingwheel tables key'")
	}
	copy(digest[:], raw)
	return digest, nil
}

// FormatDigest is the inverse of ParseDigest.
func FormatDigest(digest [32]byte) string { return digestPrefix + hex.EncodeToString(digest[:]) }

func (t *Tables) checkReferences() error {
	pools := make(map[string]bool)
	for _, pool := range t.Pools {
		pools[pool.Name] = true
	}
	var errs []error
	for _, route := range t.Routes {
		if !pools[route.Pool] {
			errs = append(errs, fmt.Errorf("routes: route %s: pool %q is not in the pools table", route.Name, route.Pool))
		}
	}
	return errors.Join(errs...)
}
