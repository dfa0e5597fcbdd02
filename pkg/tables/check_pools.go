package tables

import (
	"fmt"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

func (d *decoder) checkPools() {
	for i := range d.tables.Pools {
		d.checkPoolKind(&d.tables.Pools[i], d.pools[i])
	}
	d.checkDigests()
	for i := range d.tables.Organisations {
		d.checkBurst(&d.tables.Organisations[i], d.organisations[i])
	}
}

func (d *decoder) checkPoolKind(pool *Pool, section *inifile.Section) {
	if section.HasInvalid(keyKind) {
		return
	}
	if pool.Kind == PoolEngine {
		if !section.Has(keyModel) {
			section.Report(keyModel, "an engine pool needs a model", "add a line model = NAME, or write kind = service")
		}
		return
	}
	for _, key := range engineOnly {
		if section.Has(key) {
			section.Report(key, "the key has no effect on a pool of services", "remove it, or write kind = engine")
		}
	}
}

// checkDigests reports a digest that is used twice. A key belongs to exactly
// one organisation, and a second name for it would survive the removal of the
// first.
func (d *decoder) checkDigests() {
	type use struct{ place, owner string }
	seen := make(map[[32]byte]use)
	for i := range d.tables.Organisations {
		org, section := &d.tables.Organisations[i], d.organisations[i]
		for _, key := range org.Keys {
			keyName := keyPrefixText + key.Name
			if !section.HasValid(keyName) {
				continue
			}
			if first, ok := seen[key.Digest]; ok {
				section.Report(keyName, fmt.Sprintf("the digest is already used by %s at %s", first.owner, first.place),
					"remove one of them, or make another key with 'lacewingwheel tables key'")
				continue
			}
			seen[key.Digest] = use{section.Location(keyName), fmt.Sprintf("key %s of organisation %s", key.Name, org.Name)}
		}
	}
}

// checkBurst reports a burst that cannot hold one request. A request that
// states no maximum reserves default_tokens, so an organisation with less
// could never run one.
func (d *decoder) checkBurst(org *Organisation, section *inifile.Section) {
	if !section.HasValid(keyBurst) {
		return
	}
	for i := range d.tables.Pools {
		pool := &d.tables.Pools[i]
		if pool.Kind != PoolEngine || org.Burst >= float64(pool.DefaultTokens) || !d.reaches(org.Name, pool.Name) {
			continue
		}
		section.Report(keyBurst, fmt.Sprintf("one request to pool %s reserves %d tokens, more than the burst", pool.Name, pool.DefaultTokens),
			fmt.Sprintf("raise burst to at least %d, or lower default_tokens at %s", pool.DefaultTokens, d.pools[i].Location(keyDefaultTokens)))
	}
}

// reaches reports whether a route leads the organisation to the pool. None does
// when the routes table was not read, so that a pools table that is sound
// together with its routes is not reported alone.
func (d *decoder) reaches(organisation, pool string) bool {
	for i := range d.tables.Routes {
		route := &d.tables.Routes[i]
		if route.Pool == pool && route.Access != AccessOpen && route.AllowsOrganisation(organisation) {
			return true
		}
	}
	return false
}

func (d *decoder) pool(name string) *Pool {
	for i := range d.tables.Pools {
		if d.tables.Pools[i].Name == name {
			return &d.tables.Pools[i]
		}
	}
	return nil
}

func (d *decoder) poolNames() []string {
	names := make([]string, len(d.tables.Pools))
	for i := range d.tables.Pools {
		names[i] = d.tables.Pools[i].Name
	}
	return names
}

func (d *decoder) organisationNames() []string {
	names := make([]string, len(d.tables.Organisations))
	for i := range d.tables.Organisations {
		names[i] = d.tables.Organisations[i].Name
	}
	return names
}
