package call

import (
	"fmt"

	"cherryrelay/internal/settings"
)

// Reconfigure applies other settings to the core and its module; on an error, nothing changes. Existing calls keep
// their class: it also decides whether they may be refused.
func (c *Core) Reconfigure(s *settings.Settings) error {
	decisions, err := s.ControlSettings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.stepModule() // queued set-ups refer to their class by its index in the old settings
	if err := c.module.UpdateSettings(c.selection.scaleSettings(decisions)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.decisions = decisions
	c.registerClasses()
	return nil
}

// CountReload counts a reload of the configuration, which was either applied or rejected.
func (c *Core) CountReload(applied bool) {
	if applied {
		c.metrics.ReloadsOK++
	} else {
		c.metrics.ReloadsFailed++
	}
}
