// Package standin provides fakes of the platform, of engines and of plain services
// for tests and for the local command, with faults that can be injected. It also
// has a load generator. It is not for production.
package standin
