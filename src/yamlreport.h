/*
 * yamlreport.h - collects the error messages of libcyaml.
 */
#ifndef BS_YAMLREPORT_H
#define BS_YAMLREPORT_H

#include <cyaml/cyaml.h>
#include <glib.h>

/* Returns a libcyaml configuration with FLAGS that appends an error and its
   position in the file to REPORT, which must outlive the configuration. */
cyaml_config_t BsYamlReport_Config(GString *report, cyaml_cfg_flags_t flags);

#endif /* BS_YAMLREPORT_H */
