package tables

import "lacewingwheel.example/lacewingwheel/pkg/inifile"

// File names in errors, when the source gives none.
const (
	RoutesFile = "routes.ini"
	PoolsFile  = "pools.ini"
)

// Source is the text of both tables, in INI.
type Source struct {
	Routes []byte
	Pools  []byte

	// RoutesName and PoolsName are the file names that errors show. Empty
	// names stand for RoutesFile and PoolsFile.
	RoutesName string
	PoolsName  string
}

// Parse reads both tables and checks them. The error is an *inifile.Error with
// all mistakes.
func Parse(src Source) (*Tables, error) {
	var report inifile.Report
	d := newDecoder(&report)
	d.readPools(src)
	d.readRoutes(src)
	d.checkRoutes(true)
	d.checkPools()
	if err := report.Err(); err != nil {
		return nil, err
	}
	return d.tables, nil
}

// Check reports the mistakes of the tables in src, of which one may be nil. An
// absent table is not checked, and neither are references to it. Unlike Parse,
// which accepts an empty routes table, it reports one, because putting it in
// force ends all service.
func Check(src Source, report *inifile.Report) {
	d := newDecoder(report)
	if src.Pools != nil {
		d.readPools(src)
	}
	if src.Routes != nil {
		d.readRoutes(src)
		d.checkRoutes(src.Pools != nil)
		d.checkNotEmpty()
	}
	d.checkPools()
}

// decoder holds the tables while they are read, and the sections that their
// parts come from, for checks across sections.
type decoder struct {
	tables     *Tables
	report     *inifile.Report
	routesFile string
	poolsFile  string

	routes        []*inifile.Section // of tables.Routes
	pools         []*inifile.Section // of tables.Pools
	organisations []*inifile.Section // of tables.Organisations
}

func newDecoder(report *inifile.Report) *decoder {
	t := &Tables{}
	for _, field := range settingsFields(&t.Quota) {
		field.Reset()
	}
	return &decoder{tables: t, report: report}
}

func (d *decoder) readRoutes(src Source) {
	d.routesFile = nameOr(src.RoutesName, RoutesFile)
	doc := inifile.Parse(d.routesFile, src.Routes, d.report, kindRoute)
	for _, section := range doc.Sections(kindRoute.Keyword) {
		checkSectionName(section)
		route := Route{Name: section.Name}
		section.Decode(routeFields(&route)...)
		d.tables.Routes = append(d.tables.Routes, route)
		d.routes = append(d.routes, section)
	}
}

func (d *decoder) readPools(src Source) {
	d.poolsFile = nameOr(src.PoolsName, PoolsFile)
	doc := inifile.Parse(d.poolsFile, src.Pools, d.report, kindPool, kindOrganisation, kindQuota)
	doc.Section(kindQuota.Keyword).Decode(settingsFields(&d.tables.Quota)...)
	for _, section := range doc.Sections(kindPool.Keyword) {
		checkSectionName(section)
		pool := Pool{Name: section.Name}
		section.Decode(poolFields(&pool)...)
		d.tables.Pools = append(d.tables.Pools, pool)
		d.pools = append(d.pools, section)
	}
	for _, section := range doc.Sections(kindOrganisation.Keyword) {
		checkSectionName(section)
		d.tables.Organisations = append(d.tables.Organisations, readOrganisation(section))
		d.organisations = append(d.organisations, section)
	}
}

func readOrganisation(section *inifile.Section) Organisation {
	org := Organisation{Name: section.Name}
	for _, key := range section.Keys(keyPrefixText) {
		org.Keys = append(org.Keys, APIKey{Name: key[len(keyPrefixText):]})
	}
	section.Decode(organisationFields(&org)...)
	return org
}

func checkSectionName(section *inifile.Section) {
	if problem := CheckName(section.Name); problem != nil {
		section.Report("", problem.Description, problem.Remedy)
	}
}

func nameOr(name, standard string) string {
	if name == "" {
		return standard
	}
	return name
}
