//! Slopes from a sweep's rows, by ordinary least squares.

use std::collections::BTreeMap;
use std::path::Path;

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// Why no slopes could be taken.
#[derive(Debug, thiserror::Error)]
pub enum FitError {
    /// The rows could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A column is not there, or holds something else than numbers.
    #[error("no column `{0}` of numbers")]
    Column(String),
    /// The rows do not determine the slopes.
    #[error("cannot fit: {0}")]
    Regression(#[from] linregress::Error),
}

/// A fitted line `y = intercept + sum(slope * x)`.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// The value at the origin.
    pub intercept: f64,
    /// The slope of each x, in the order asked for.
    pub slopes: Vec<(String, f64)>,
    /// The share of the variance explained.
    pub r_squared: f64,
}

/// The columns of tab-separated rows under a header line; those of numbers only.
pub fn read_columns(path: &Path) -> Result<BTreeMap<String, Vec<f64>>, FitError> {
    let text = std::fs::read_to_string(path).map_err(|source| FitError::Read {
        path: path.display().to_string(),
        source,
    })?;
    let mut lines = text.lines();
    let names: Vec<&str> = lines.next().unwrap_or_default().split('\t').collect();
    let rows: Vec<Vec<&str>> = lines.map(|line| line.split('\t').collect()).collect();
    let column = |i: usize| -> Option<Vec<f64>> {
        let values = rows.iter().map(|row| row.get(i)?.parse().ok());
        values.collect()
    };
    let columns = names.iter().enumerate();
    Ok(columns
        .filter_map(|(i, name)| Some(((*name).to_owned(), column(i)?)))
        .collect())
}

/// Fits column `y` to columns `xs`.
pub fn fit(columns: &BTreeMap<String, Vec<f64>>, y: &str, xs: &[String]) -> Result<Fit, FitError> {
    let mut data = Vec::new();
    for name in std::iter::once(y).chain(xs.iter().map(String::as_str)) {
        let column = columns.get(name);
        let column = column.ok_or_else(|| FitError::Column(name.to_owned()))?;
        data.push((name.to_owned(), column.clone()));
    }
    let data = RegressionDataBuilder::new().build_from(data)?;
    let model = FormulaRegressionBuilder::new()
        .data(&data)
        .data_columns(y, xs.iter().map(String::as_str))
        .fit()?;
    let pairs = model.iter_parameter_pairs();
    Ok(Fit {
        intercept: model.parameters()[0],
        slopes: pairs
            .map(|(name, slope)| (name.to_owned(), slope))
            .collect(),
        r_squared: model.rsquared(),
    })
}
