package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"lacewingwheel.example/lacewingwheel/pkg/inifile"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameSyntax = "1 to 63 letters, digits, '.', '_' and '-'"

var (
	nameRule                  = inifile.Rule{Required: true, Syntax: nameSyntax, Check: checkName}
	listenAddressRule         = inifile.Rule{Syntax: "ip:port", Check: checkListenAddress}
	requiredListenAddressRule = inifile.Rule{Required: true, Syntax: "ip:port", Check: checkListenAddress}
	connectAddressRule        = inifile.Rule{Syntax: "ip:port", Check: checkConnectAddress}
	seedsRule                 = inifile.Rule{Syntax: "ip:port, separated by commas", Check: checkConnectAddress}
	platformAddressRule       = inifile.Rule{Required: true, Syntax: "http://ip:port", Check: CheckPlatformAddress}
	pemFileRule               = inifile.Rule{Syntax: "the path of a PEM file"}
)

func checkName(name string) *inifile.Problem {
	if namePattern.MatchString(name) {
		return nil
	}
	return &inifile.Problem{Description: fmt.Sprintf("%q is not a name", name), Remedy: "use " + nameSyntax + ", starting with a letter or digit"}
}

// checkListenAddress checks an address to listen on. Port 0 is valid: the kernel
// then picks a port.
func checkListenAddress(text string) *inifile.Problem {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return &inifile.Problem{Description: fmt.Sprintf("%q is not ip:port", text), Remedy: "write an IP address and a port, for example 0.0.0.0:8443 or [::]:8443"}
	}
	return nil
}

// checkConnectAddress checks an address that other instances connect to.
func checkConnectAddress(text string) *inifile.Problem {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return &inifile.Problem{Description: fmt.Sprintf("%q is not ip:port", text), Remedy: "write an IP address and a port, for example 10.0.0.7:7443"}
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return &inifile.Problem{Description: fmt.Sprintf("other instances cannot connect to %s", text), Remedy: "write the address and port that other instances reach"}
	}
	return nil
}

// CheckPlatformAddress checks the URL of the platform and returns nil if it is
// valid. The host must be an IP address, so that a failure of name resolution
// cannot cut off the platform.
func CheckPlatformAddress(text string) *inifile.Problem {
	const remedy = "write http://ip:port or https://ip:port, without a path"
	u, err := url.Parse(text)
	switch {
	case err != nil || (u.Scheme != "http" && u.Scheme != "https"):
		return &inifile.Problem{Description: fmt.Sprintf("%q is not an http or https URL", text), Remedy: remedy}
	case u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.ForceQuery:
		return &inifile.Problem{Description: fmt.Sprintf("%q has more than a scheme, address and port", text), Remedy: remedy}
	case checkConnectAddress(u.Host) != nil:
		return &inifile.Problem{Description: fmt.Sprintf("%q is not ip:port", u.Host), Remedy: remedy}
	}
	return nil
}
