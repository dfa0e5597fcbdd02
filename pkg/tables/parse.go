package tables

import "lacewingwheel.example/lacewingwheel/pkg/inifile"

// Default file names of the two tables.
const (
	RoutesFile = "routes.ini"
	PoolsFile  = "pools.ini"
)

// Source is the text of both tables in INI syntax.
type Source struct {
	Routes []byte
	Pools  []byte

	// RoutesName and PoolsName are the file names that errors show. If they are
	// empty, errors show RoutesFile and PoolsFile.
	RoutesName string
	PoolsName  string
}

// Parse parses and checks both tables. The error is an *inifile.Error with all
// mistakes.
func Parse(src Source) (*Tables, error) {
	var report inifile.Report
	d := newDecoder(&report)
	d.parsePools(src)
	d.parseRoutes(src)
	d.checkRoutes(true)
	d.checkPools()
	if err := report.Err(); err != nil {
		return nil, err
	}
	return d.tables, nil
}

// Check adds the mistakes of the tables in src to report. One table may be nil;
// then neither it nor references to it are checked. Unlike Parse, Check reports
// a routes table without routes, with which every request would be refused.
func Check(src Source, report *inifile.Report) {
	d := newDecoder(report)
	if src.Pools != nil {
		d.parsePools(src)
	}
	if src.Routes != nil {
		d.parseRoutes(src)
		d.checkRoutes(src.Pools != nil)
		d.checkHasRoutes()
	}
	d.checkPools()
}

// decoder holds the tables that are being parsed and, for the checks that
// compare sections, the section of each route, pool and organisation.
type decoder struct {
	tables     *Tables
	report     *inifile.Report
	routesFile string
	poolsFile  string

	routeSections        []*inifile.Section // same order as tables.Routes
	poolSections         []*inifile.Section // same order as tables.Pools
	organisationSections []*inifile.Section // same order as tables.Organisations
}

func newDecoder(report *inifile.Report) *decoder {
	t := &Tables{}
	for _, field := range quotaFields(&t.Quota) {
		field.Reset()
	}
	return &decoder{tables: t, report: report}
}

func (d *decoder) parseRoutes(src Source) {
	d.routesFile = nameOrDefault(src.RoutesName, RoutesFile)
	doc := inifile.Parse(d.routesFile, src.Routes, d.report, kindRoute)
	for _, section := range doc.Sections(kindRoute.Keyword) {
		checkSectionName(section)
		route := Route{Name: section.Name}
		section.Decode(routeFields(&route)...)
		d.tables.Routes = append(d.tables.Routes, route)
		d.routeSections = append(d.routeSections, section)
	}
}

func (d *decoder) parsePools(src Source) {
	d.poolsFile = nameOrDefault(src.PoolsName, PoolsFile)
	doc := inifile.Parse(d.poolsFile, src.Pools, d.report, kindPool, kindOrganisation, kindQuota)
	doc.Section(kindQuota.Keyword).Decode(quotaFields(&d.tables.Quota)...)
	for _, section := range doc.Sections(kindPool.Keyword) {
		checkSectionName(section)
		pool := Pool{Name: section.Name}
		section.Decode(poolFields(&pool)...)
		d.tables.Pools = append(d.tables.Pools, pool)
		d.poolSections = append(d.poolSections, section)
	}
	for _, section := range doc.Sections(kindOrganisation.Keyword) {
		checkSectionName(section)
		d.tables.Organisations = append(d.tables.Organisations, parseOrganisation(section))
		d.organisationSections = append(d.organisationSections, section)
	}
}

func parseOrganisation(section *inifile.Section) Organisation {
	org := Organisation{Name: section.Name}
	for _, key := range section.Keys(apiKeyPrefix) {
		org.Keys = append(org.Keys, APIKey{Name: key[len(apiKeyPrefix):]})
	}
	section.Decode(organisationFields(&org)...)
	return org
}

func checkSectionName(section *inifile.Section) {
	if problem := CheckName(section.Name); problem != nil {
		section.Report("", problem.Description, problem.Remedy)
	}
}

func nameOrDefault(name, defaultName string) string {
	if name == "" {
		return defaultName
	}
	return name
}
