package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON reads a string in the format of time.ParseDuration.
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

// MarshalJSON writes the format that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
