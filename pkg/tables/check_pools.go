package tables

import (
	"fmt"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

func (d *decoder) checkPools() {
	for i := range d.tables.Pools {
		d.checkPoolKind(&d.tables.Pools[i], d.poolSections[i])
	}
	d.checkDuplicateDigests()
	for i := range d.tables.Organisations {
		d.checkBurst(&d.tables.Organisations[i], d.organisationSections[i])
	}
}

// checkPoolKind reports an engine pool without a model, and keys for engines in
// a pool of services.
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
	for _, key := range engineOnlyKeys {
		if section.Has(key) {
			section.Report(key, "the key has no effect on a pool of services", "remove it, or write kind = engine")
		}
	}
}

// checkDuplicateDigests reports a digest that is used twice. A key belongs to
// exactly one organisation, and removing only one of its two entries would leave
// the key valid.
func (d *decoder) checkDuplicateDigests() {
	type digestUse struct{ location, owner string }
	firstUses := make(map[[32]byte]digestUse)
	for i := range d.tables.Organisations {
		org, section := &d.tables.Organisations[i], d.organisationSections[i]
		for _, key := range org.Keys {
			keyName := apiKeyPrefix + key.Name
			if !section.HasValid(keyName) {
				continue
			}
			if first, ok := firstUses[key.Digest]; ok {
				section.Report(keyName, fmt.Sprintf("the digest is already used by %s at %s", first.owner, first.location),
					"remove one of them, or make another key with 'lacewingwheel tables key'")
				continue
			}
			firstUses[key.Digest] = digestUse{section.Location(keyName), fmt.Sprintf("key %s of organisation %s", key.Name, org.Name)}
		}
	}
}

// checkBurst reports a burst below default_tokens of a pool that the
// organisation can use. A request without a stated maximum reserves that many
// tokens, so it could never be admitted.
func (d *decoder) checkBurst(org *Organisation, section *inifile.Section) {
	if !section.HasValid(keyBurst) {
		return
	}
	for i := range d.tables.Pools {
		pool := &d.tables.Pools[i]
		if pool.Kind != PoolEngine || org.Burst >= float64(pool.DefaultTokens) || !d.hasRouteToPool(org.Name, pool.Name) {
			continue
		}
		section.Report(keyBurst, fmt.Sprintf("one request to pool %s reserves %d tokens, more than the burst", pool.Name, pool.DefaultTokens),
			fmt.Sprintf("raise burst to at least %d, or lower default_tokens at %s", pool.DefaultTokens, d.poolSections[i].Location(keyDefaultTokens)))
	}
}

// hasRouteToPool reports whether a route allows the organisation to use the
// pool. It is false without a routes table, so that a pools table that is checked
// alone gets no issues that its routes would rule out.
func (d *decoder) hasRouteToPool(organisation, pool string) bool {
	for i := range d.tables.Routes {
		route := &d.tables.Routes[i]
		if route.Pool == pool && route.Access != AccessOpen && route.AllowsOrganisation(organisation) {
			return true
		}
	}
	return false
}

// findPool returns the pool called name, or nil.
func (d *decoder) findPool(name string) *Pool {
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
