/*
 * yamlreport.h - what libcyaml says of a file that it cannot load.
 */
#ifndef BS_YAMLREPORT_H
#define BS_YAMLREPORT_H

#include <cyaml/cyaml.h>
#include <glib.h>

/* Returns how to load with FLAGS.  The error and its place are appended to
   REPORT, which must outlive the configuration. */
cyaml_config_t BsYamlReport_Config(GString *report, cyaml_cfg_flags_t flags);

#endif /* BS_YAMLREPORT_H */
