// Package config parses and checks the settings file of a router process.
package config

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

// Settings are the settings of a router process, one field per section.
type Settings struct {
	Instance Instance
	Platform Platform
	Peers    Peers
	TLS      TLS
	Server   Server
}

// Instance identifies the instance and holds the addresses of its listeners,
// each as ip:port.
type Instance struct {
	ID             string
	Zone           string
	CallerListen   string
	OperatorListen string
	PeerListen     string // empty: no messages between instances
	PeerAddress    string // address that other instances connect to; empty: PeerListen
}

// Platform holds the address of the object API and the instance list.
type Platform struct {
	Address string // URL without a path
}

// Peers lists instances to contact when the platform does not answer.
type Peers struct {
	Seeds []string // ip:port
}

// TLS holds the paths of PEM files. A caller or operator listener without files
// serves plain HTTP. Messages between instances require all three peer files.
type TLS struct {
	CallerCert   string
	CallerKey    string
	OperatorCert string
	OperatorKey  string
	PeerCert     string
	PeerKey      string
	PeerCA       string // CA certificate that verifies the certificates of all instances
}

// Server holds the timings of a shutdown and the limits of the process.
type Server struct {
	DrainTimeout    time.Duration // longest wait for running requests
	ReadyGrace      time.Duration // time between reporting not ready and closing the listener
	MemoryLimit     int64         // bytes that the process may use; zero: the memory of the machine
	DescriptorLimit int           // descriptors that the process may open; zero: the limit of the process
}

// Load reads and checks the settings file at path. The error is an
// *inifile.Error with all mistakes, or a read error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings: name a readable file with --settings")
	}
	return Parse(path, text)
}

// Parse parses and checks settings. Errors show name as the file name. The error
// is an *inifile.Error with all mistakes.
func Parse(name string, text []byte) (*Settings, error) {
	var report inifile.Report
	s := Check(name, text, &report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check parses settings and adds their mistakes to report. The result is usable
// only if there are none.
func Check(name string, text []byte, report *inifile.Report) *Settings {
	s := &Settings{}
	doc := inifile.Parse(name, text, report, sectionKinds()...)
	sections := make(map[string]*inifile.Section)
	for _, spec := range sectionSpecs(s) {
		section := doc.Section(spec.keyword)
		section.Decode(spec.fields...)
		sections[spec.keyword] = section
	}
	consistencyChecker{s, sections}.check()
	return s
}
