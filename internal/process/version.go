package process

import "runtime/debug"

// Version returns the version of the module that the program was built from,
// and the commit if the build recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return version + " " + s.Value
		}
	}
	return version
}
