package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written like "250ms" in settings.
type Duration time.Duration

// UnmarshalJSON reads a string that time.ParseDuration takes.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf(`%q is not a duration such as "250ms"`, s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes what UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
