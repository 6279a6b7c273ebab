package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// Write prints the report as one JSON object or as a table for people.
func (r Report) Write(output io.Writer, asJSON bool) error {
	var err error
	if asJSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	} else {
		err = r.writeTable(output)
	}
	return wrapNonNil(err, "print slopes")
}

func wrapNonNil(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}

func (r Report) writeTable(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	lines := []string{"sweep\trole\tper\tunit\tslope\tintercept\tR2\tnoise\tpoints"}
	for _, measured := range r.Measurements {
		lines = append(lines, measured.line())
	}
	lines = append(lines, "")
	if _, err := io.WriteString(table, strings.Join(lines, "\n")); err != nil {
		return err
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(output, "%d sweeps in %.0f s on %d processors, %s, %s\n",
		len(r.Measurements), r.Seconds, r.Machine.Processors, r.Machine.GoVersion, r.Machine.System)
	return err
}

func (m Measurement) line() string {
	points := make([]string, 0, len(m.Points))
	for _, point := range m.Points {
		points = append(points, fmt.Sprintf("%.6g: %.5g", point.Size, point.Value))
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\t%s\t%s",
		m.Name, m.Role, m.Size, m.Unit, m.Slope, m.Intercept, m.RSquared, m.noise(), strings.Join(points, ", "))
}

// noise is unknown when each size was measured once.
func (m Measurement) noise() string {
	if m.Repetitions < 2 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*m.Noise)
}
